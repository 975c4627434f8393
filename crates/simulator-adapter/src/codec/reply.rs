//! Encodes the actions of a reply.

/// The maximum length of a text or message, which has a length prefix of 16 bits. Longer ones are
/// truncated.
const MAX_TEXT_BYTES: usize = u16::MAX as usize;

/// Builds the reply to a batch, which contains the actions of all instances in the order in which
/// they were added. Times are in milliseconds.
#[derive(Default)]
pub struct Reply {
    count: u32,
    body: Vec<u8>,
}

impl Reply {
    /// `Forward`: starts an attempt, which times out when the clock of the batches reaches
    /// `deadline_ms`.
    pub fn forward(&mut self, instance: u16, request: u64, deadline_ms: f64, endpoint: u32) {
        let fields: [&[u8]; 3] = [
            &request.to_le_bytes(),
            &deadline_ms.to_le_bytes(),
            &endpoint.to_le_bytes(),
        ];
        self.push_record(1, instance, &fields);
    }

    /// `Reject`: rejects a request. If `retry_after_ms` is 0, the client is given no time to retry
    /// after.
    pub fn reject(&mut self, instance: u16, request: u64, retry_after_ms: f64) {
        let fields: [&[u8]; 2] = [&request.to_le_bytes(), &retry_after_ms.to_le_bytes()];
        self.push_record(2, instance, &fields);
    }

    /// `Abort`: fails a request.
    pub fn fail(&mut self, instance: u16, request: u64) {
        self.push_record(3, instance, &[&request.to_le_bytes()]);
    }

    /// `Retract`: cancels an attempt.
    pub fn cancel_attempt(&mut self, instance: u16, request: u64, attempt: u16) {
        let fields: [&[u8]; 2] = [&request.to_le_bytes(), &attempt.to_le_bytes()];
        self.push_record(4, instance, &fields);
    }

    /// `WakeAt`: sets a timer that expires after `after_ms`.
    pub fn set_timer(&mut self, instance: u16, after_ms: f64, tag: u32) {
        let fields: [&[u8]; 2] = [&after_ms.to_le_bytes(), &tag.to_le_bytes()];
        self.push_record(5, instance, &fields);
    }

    /// `Touch`: starts a health check.
    pub fn check_health(&mut self, instance: u16, endpoint: u32) {
        self.push_record(6, instance, &[&endpoint.to_le_bytes()]);
    }

    /// `CloseIdle`: closes the idle connections to an endpoint.
    pub fn close_idle_connections(&mut self, instance: u16, endpoint: u32) {
        self.push_record(7, instance, &[&endpoint.to_le_bytes()]);
    }

    /// `MemoTo`: sends a message to a peer, or to all peers if the recipient is `u32::MAX`.
    pub fn send_to_peer(&mut self, instance: u16, recipient: u32, message: &[u8]) {
        self.push_text_record(8, instance, &recipient.to_le_bytes(), message);
    }

    /// `Trace`: writes a line to the log.
    pub fn log(&mut self, instance: u16, text: &str) {
        self.push_text_record(9, instance, &[], text.as_bytes());
    }

    /// `Crash`: reports that an instance has crashed.
    pub fn report_crash(&mut self, instance: u16, text: &str) {
        self.push_text_record(10, instance, &[], text.as_bytes());
    }

    /// `Track`: subscribes to changes of the endpoint list, or ends the subscription.
    pub fn subscribe(&mut self, instance: u16, is_enabled: bool) {
        self.push_record(11, instance, &[&[u8::from(is_enabled)]]);
    }

    /// `Fetch`: fetches the full endpoint list once.
    pub fn fetch_endpoint_list(&mut self, instance: u16) {
        self.push_record(12, instance, &[]);
    }

    /// `Count`: increments a counter by `amount` units.
    pub fn increment_counter(
        &mut self,
        instance: u16,
        amount: f32,
        time_to_live_ms: f64,
        key: u64,
    ) {
        let fields: [&[u8]; 3] = [
            &amount.to_le_bytes(),
            &time_to_live_ms.to_le_bytes(),
            &key.to_le_bytes(),
        ];
        self.push_record(13, instance, &fields);
    }

    /// Returns the encoded reply with its header, which consists of the number of records and the
    /// length of the body in bytes.
    #[must_use]
    pub fn frame(&self) -> Vec<u8> {
        let body_bytes = self.body.len() as u32;
        let mut frame = Vec::with_capacity(8 + self.body.len());
        frame.extend_from_slice(&self.count.to_le_bytes());
        frame.extend_from_slice(&body_bytes.to_le_bytes());
        frame.extend_from_slice(&self.body);
        frame
    }

    fn push_record(&mut self, code: u8, instance: u16, fields: &[&[u8]]) {
        self.count += 1;
        self.body.push(code);
        self.body.extend_from_slice(&instance.to_le_bytes());
        for field in fields {
            self.body.extend_from_slice(field);
        }
    }

    /// Adds a record that consists of an optional first field and a text with its length.
    fn push_text_record(&mut self, code: u8, instance: u16, first_field: &[u8], text: &[u8]) {
        let text = &text[..text.len().min(MAX_TEXT_BYTES)];
        let length = text.len() as u16;
        self.push_record(code, instance, &[first_field, &length.to_le_bytes(), text]);
    }
}
