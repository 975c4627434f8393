//! The end of a request: its final answer where it is not served, and its removal.

use crate::action::Action;
use crate::ids::RequestId;
use crate::rejection::RejectReason;
use crate::service::request::Request;
use crate::service::state::{EventContext, Service};
use crate::settings::{DeduplicationScope, Idempotency, Settings};
use crate::util::duration;

impl Service {
    /// Ends a request without a response: rejected where a retry is safe, else failed. The client
    /// is to wait until its units are refilled or what is in flight here is answered: without a
    /// wait, clients would retry at once; with a longer one, their next attempt would be late.
    pub(super) fn finish_unserved(
        &mut self,
        id: RequestId,
        reason: RejectReason,
        state: &mut EventContext,
    ) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.is_closed) else {
            return;
        };
        let incoming = &request.incoming;
        let quota = state.quotas.get(incoming.customer);
        let refill_seconds = quota.map_or(0.0, |quota| {
            quota.bucket.seconds_until_available(incoming.units)
        });
        let wait_seconds = refill_seconds.max(self.upstream.latency.mean(incoming.class));
        let answer = final_answer(id, request, &self.settings, wait_seconds, reason);
        state.actions.push(answer);
        self.close(id, state);
    }

    /// The client has its final answer or has disconnected: nothing more goes out for the request.
    pub(crate) fn close(&mut self, id: RequestId, state: &mut EventContext) {
        let Some(request) = self.open_request(id) else {
            return self.remove_if_finished(id, state);
        };
        request.is_closed = true;
        let was_forwarded = !request.attempts.is_empty();
        let quota = state.quotas.get_mut(request.incoming.customer);
        if let Some(quota) = quota.filter(|_| was_forwarded) {
            quota.end_request();
        }
        self.cancel_attempts_except(id, None, state);
        self.remove_if_finished(id, state);
    }

    pub(super) fn cancel_attempts_except(
        &self,
        id: RequestId,
        kept: Option<u16>,
        state: &mut EventContext,
    ) {
        if !self.settings.permissions.cancel {
            return;
        }
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        for (number, attempt) in request.attempts.iter().enumerate() {
            let number = number as u16;
            if attempt.is_in_flight && kept != Some(number) {
                state.actions.push(Action::Cancel {
                    request: id,
                    attempt: number,
                });
            }
        }
    }

    pub(super) fn remove_if_finished(&mut self, id: RequestId, state: &mut EventContext) {
        if self.requests.get(&id).is_some_and(Request::is_finished) {
            self.requests.remove(&id);
            state.finished_requests.push(id);
        }
    }
}

/// Rejected, if the client may safely send it again; failed otherwise. The client should wait
/// for `wait_seconds`.
fn final_answer(
    id: RequestId,
    request: &Request,
    settings: &Settings,
    wait_seconds: f64,
    reason: RejectReason,
) -> Action {
    if !is_retry_safe(request, settings) {
        return Action::Fail { request: id };
    }
    let permissions = &settings.permissions;
    let retry_after = permissions
        .retry_after
        .then(|| duration(wait_seconds).min(permissions.max_retry_after));
    Action::Reject {
        request: id,
        retry_after,
        reason,
    }
}

/// Whether the client may send the request again, through any ingress.
fn is_retry_safe(request: &Request, settings: &Settings) -> bool {
    let idempotency = settings.classes[request.incoming.class].idempotency;
    let is_safe_anywhere = matches!(
        idempotency,
        Idempotency::Idempotent
            | Idempotency::IdempotencyKey {
                scope: DeduplicationScope::All,
                ..
            }
    );
    is_safe_anywhere || request.first_possible_execution().is_none()
}
