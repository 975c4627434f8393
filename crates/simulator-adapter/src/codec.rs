//! Bytes of the bench's wire to records and back. Knows layouts, not meanings.

/// What is wrong with a frame or record.
#[derive(Debug, thiserror::Error, PartialEq)]
pub enum CodecError {
    /// The record ends before its fields do.
    #[error("record {record} (code {code}): truncated at byte {at}")]
    Truncated {
        /// Position of the record in its batch.
        record: usize,
        /// Code of the record.
        code: u8,
        /// Offset in the batch's payload.
        at: usize,
    },
    /// The code is none of the wire's.
    #[error("record {record}: unknown event code {code}")]
    UnknownCode {
        /// Position of the record in its batch.
        record: usize,
        /// Code of the record.
        code: u8,
    },
}

/// One line of a numbered list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Worker id.
    pub worker: u32,
    /// Zone.
    pub campus: u8,
    /// Machine kind.
    pub machine: u8,
    /// Cell.
    pub stripe: u16,
    /// 1 ready, 2 draining, 0 gone.
    pub state: u8,
    /// Weight.
    pub heft: f32,
    /// Start time, ms; 0 long ago.
    pub started_at_ms: f64,
}

/// An event record; fields as on the wire.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub enum Record {
    Membership {
        i: u16,
        form: u8,
        serial: u64,
        table: u32,
    },
    Closed(Closed),
    Flowing {
        i: u16,
        req: u64,
        duration_ms: f64,
        n: u16,
        worker: u32,
    },
    Wakeup {
        i: u16,
        tag: u32,
    },
    WorkItem(WorkItem),
    Census {
        table: u32,
        items: Vec<Entry>,
    },
    Health {
        i: u16,
        worker: u32,
        code: u16,
        duration_ms: f64,
        stats: Vec<f32>,
    },
    Aborted {
        i: u16,
        req: u64,
    },
    Create {
        i: u16,
        salt: u64,
        options: Vec<u8>,
    },
    Whisper {
        i: u16,
        who: u16,
        bytes: Vec<u8>,
    },
    Shutdown {
        i: u16,
    },
    Added {
        i: u16,
        value: f32,
        name: u64,
        code: u16,
        duration_ms: f64,
    },
}

/// `ClosedAttempt`.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub struct Closed {
    pub i: u16,
    pub req: u64,
    pub usage: u16,
    pub n: u16,
    pub duration_ms: f64,
    pub done: bool,
    pub worker: u32,
    pub true_units: u16,
    pub code: u16,
    pub stats: Vec<f32>,
}

/// `WorkItem`.
#[derive(Clone, Debug, PartialEq)]
#[allow(missing_docs)]
pub struct WorkItem {
    pub i: u16,
    pub req: u64,
    pub units: f32,
    pub band: u16,
    pub first_door: f32,
    pub left_ms: f64,
    pub key: u64,
    pub doors: f32,
    pub grade: u16,
    pub marks: u16,
}

struct Cursor<'a> {
    data: &'a [u8],
    at: usize,
    record: usize,
    code: u8,
}

impl<'a> Cursor<'a> {
    fn take(&mut self, n: usize) -> Result<&'a [u8], CodecError> {
        let end = self.at.checked_add(n).filter(|e| *e <= self.data.len());
        let end = end.ok_or(CodecError::Truncated {
            record: self.record,
            code: self.code,
            at: self.at,
        })?;
        let slice = &self.data[self.at..end];
        self.at = end;
        Ok(slice)
    }
    fn array<const N: usize>(&mut self) -> Result<[u8; N], CodecError> {
        let mut out = [0; N];
        out.copy_from_slice(self.take(N)?);
        Ok(out)
    }
    fn u8(&mut self) -> Result<u8, CodecError> {
        Ok(self.array::<1>()?[0])
    }
    fn u16(&mut self) -> Result<u16, CodecError> {
        Ok(u16::from_le_bytes(self.array()?))
    }
    fn u32(&mut self) -> Result<u32, CodecError> {
        Ok(u32::from_le_bytes(self.array()?))
    }
    fn u64(&mut self) -> Result<u64, CodecError> {
        Ok(u64::from_le_bytes(self.array()?))
    }
    fn f32(&mut self) -> Result<f32, CodecError> {
        Ok(f32::from_le_bytes(self.array()?))
    }
    fn f64(&mut self) -> Result<f64, CodecError> {
        Ok(f64::from_le_bytes(self.array()?))
    }
    fn stats(&mut self) -> Result<Vec<f32>, CodecError> {
        let n = self.u8()?;
        (0..n).map(|_| self.f32()).collect()
    }
    fn entries(&mut self) -> Result<Vec<Entry>, CodecError> {
        let n = self.u32()?;
        let mut items = Vec::new();
        for _ in 0..n {
            items.push(Entry {
                worker: self.u32()?,
                campus: self.u8()?,
                machine: self.u8()?,
                stripe: self.u16()?,
                state: self.u8()?,
                heft: self.f32()?,
                started_at_ms: self.f64()?,
            });
        }
        Ok(items)
    }
}

/// Decodes the payload of one batch.
pub fn decode(data: &[u8]) -> Result<Vec<Record>, CodecError> {
    let mut c = Cursor {
        data,
        at: 0,
        record: 0,
        code: 0,
    };
    let mut out = Vec::new();
    while c.at < data.len() {
        c.record = out.len();
        c.code = c.u8()?;
        let record = match c.code {
            1 => Record::Membership {
                i: c.u16()?,
                form: c.u8()?,
                serial: c.u64()?,
                table: c.u32()?,
            },
            2 => Record::Closed(Closed {
                i: c.u16()?,
                req: c.u64()?,
                usage: c.u16()?,
                n: c.u16()?,
                duration_ms: c.f64()?,
                done: c.u8()? != 0,
                worker: c.u32()?,
                true_units: c.u16()?,
                code: c.u16()?,
                stats: c.stats()?,
            }),
            3 => Record::Flowing {
                i: c.u16()?,
                req: c.u64()?,
                duration_ms: c.f64()?,
                n: c.u16()?,
                worker: c.u32()?,
            },
            4 => Record::Wakeup {
                i: c.u16()?,
                tag: c.u32()?,
            },
            5 => Record::WorkItem(WorkItem {
                i: c.u16()?,
                req: c.u64()?,
                units: c.f32()?,
                band: c.u16()?,
                first_door: c.f32()?,
                left_ms: c.f64()?,
                key: c.u64()?,
                doors: c.f32()?,
                grade: c.u16()?,
                marks: c.u16()?,
            }),
            6 => Record::Census {
                table: c.u32()?,
                items: c.entries()?,
            },
            7 => Record::Health {
                i: c.u16()?,
                worker: c.u32()?,
                code: c.u16()?,
                duration_ms: c.f64()?,
                stats: c.stats()?,
            },
            8 => Record::Aborted {
                i: c.u16()?,
                req: c.u64()?,
            },
            9 => {
                let (i, salt, n) = (c.u16()?, c.u64()?, c.u32()?);
                Record::Create {
                    i,
                    salt,
                    options: c.take(n as usize)?.to_vec(),
                }
            }
            10 => {
                let (i, who, n) = (c.u16()?, c.u16()?, c.u16()?);
                Record::Whisper {
                    i,
                    who,
                    bytes: c.take(n as usize)?.to_vec(),
                }
            }
            11 => Record::Shutdown { i: c.u16()? },
            12 => Record::Added {
                i: c.u16()?,
                value: c.f32()?,
                name: c.u64()?,
                code: c.u16()?,
                duration_ms: c.f64()?,
            },
            code => {
                return Err(CodecError::UnknownCode {
                    record: c.record,
                    code,
                })
            }
        };
        out.push(record);
    }
    Ok(out)
}

/// Builds one reply.
#[derive(Default)]
pub struct Reply {
    count: u32,
    body: Vec<u8>,
}

impl Reply {
    fn record(&mut self, code: u8, i: u16, fields: &[&[u8]]) {
        self.count += 1;
        self.body.push(code);
        self.body.extend_from_slice(&i.to_le_bytes());
        for f in fields {
            self.body.extend_from_slice(f);
        }
    }
    fn text(&mut self, code: u8, i: u16, head: &[u8], bytes: &[u8]) {
        let bytes = &bytes[..bytes.len().min(u16::MAX as usize)];
        self.record(code, i, &[head, &(bytes.len() as u16).to_le_bytes(), bytes]);
    }
    /// `Forward`.
    pub fn forward(&mut self, i: u16, req: u64, abandon_at_ms: f64, worker: u32) {
        self.record(
            1,
            i,
            &[
                &req.to_le_bytes(),
                &abandon_at_ms.to_le_bytes(),
                &worker.to_le_bytes(),
            ],
        );
    }
    /// `Reject`.
    pub fn reject(&mut self, i: u16, req: u64, retry_in_ms: f64) {
        self.record(2, i, &[&req.to_le_bytes(), &retry_in_ms.to_le_bytes()]);
    }
    /// `Abort`.
    pub fn abort(&mut self, i: u16, req: u64) {
        self.record(3, i, &[&req.to_le_bytes()]);
    }
    /// `Retract`.
    pub fn retract(&mut self, i: u16, req: u64, n: u16) {
        self.record(4, i, &[&req.to_le_bytes(), &n.to_le_bytes()]);
    }
    /// `WakeAt`.
    pub fn wake_at(&mut self, i: u16, from_now_ms: f64, tag: u32) {
        self.record(5, i, &[&from_now_ms.to_le_bytes(), &tag.to_le_bytes()]);
    }
    /// `Touch`.
    pub fn touch(&mut self, i: u16, worker: u32) {
        self.record(6, i, &[&worker.to_le_bytes()]);
    }
    /// `CloseIdle`.
    pub fn close_idle(&mut self, i: u16, worker: u32) {
        self.record(7, i, &[&worker.to_le_bytes()]);
    }
    /// `MemoTo`.
    pub fn memo_to(&mut self, i: u16, recipient: u32, bytes: &[u8]) {
        self.text(8, i, &recipient.to_le_bytes(), bytes);
    }
    /// `Trace`.
    pub fn trace(&mut self, i: u16, text: &str) {
        self.text(9, i, &[], text.as_bytes());
    }
    /// `Crash`.
    pub fn crash(&mut self, i: u16, text: &str) {
        self.text(10, i, &[], text.as_bytes());
    }
    /// `Track`.
    pub fn track(&mut self, i: u16, enable: bool) {
        self.record(11, i, &[&[enable as u8]]);
    }
    /// `Fetch`.
    pub fn fetch(&mut self, i: u16) {
        self.record(12, i, &[]);
    }
    /// `Count`.
    pub fn count(&mut self, i: u16, add: f32, lifetime_ms: f64, name: u64) {
        self.record(
            13,
            i,
            &[
                &add.to_le_bytes(),
                &lifetime_ms.to_le_bytes(),
                &name.to_le_bytes(),
            ],
        );
    }
    /// The reply with its header.
    pub fn frame(&self) -> Vec<u8> {
        let mut out = Vec::with_capacity(8 + self.body.len());
        out.extend_from_slice(&self.count.to_le_bytes());
        out.extend_from_slice(&(self.body.len() as u32).to_le_bytes());
        out.extend_from_slice(&self.body);
        out
    }
}
