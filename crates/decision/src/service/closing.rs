//! The end of a request: the final answer to requests that are not served, and the removal.

use crate::action::Action;
use crate::ids::RequestId;
use crate::rejection::RejectReason;
use crate::service::request::Request;
use crate::service::state::{EventContext, Service};
use crate::settings::{DeduplicationScope, Idempotency, Settings};
use crate::util::duration;

impl Service {
    /// Ends a request that cannot be served: rejects it if a retry is safe, and fails it otherwise.
    /// A rejected client is told to wait until its quota has enough units for the request, and for
    /// at least one mean latency, in which most of the requests in flight are answered. Without a
    /// wait, clients would retry at once; with a longer one, their retries would be late.
    pub(super) fn finish_unserved(
        &mut self,
        id: RequestId,
        reason: RejectReason,
        context: &mut EventContext,
    ) {
        let Some(request) = self.requests.get(&id).filter(|request| !request.is_closed) else {
            return;
        };
        let incoming = &request.incoming;
        let quota = context.quotas.get(incoming.customer);
        let refill_seconds = quota.map_or(0.0, |quota| {
            quota.bucket.seconds_until_available(incoming.units)
        });
        let wait_seconds = refill_seconds.max(self.upstream.latency.mean(incoming.class));
        let answer = final_answer(id, request, &self.settings, wait_seconds, reason);
        context.actions.push(answer);
        self.close(id, context);
    }

    /// Closes a request whose client has its final answer or has disconnected. Attempts in flight
    /// are cancelled where that is permitted, and no further attempt is made.
    pub(crate) fn close(&mut self, id: RequestId, context: &mut EventContext) {
        let Some(request) = self.open_request(id) else {
            return self.remove_if_finished(id, context);
        };
        request.is_closed = true;
        let was_forwarded = !request.attempts.is_empty();
        let quota = context.quotas.get_mut(request.incoming.customer);
        if let Some(quota) = quota.filter(|_| was_forwarded) {
            quota.end_request();
        }
        self.cancel_attempts_except(id, None, context);
        self.remove_if_finished(id, context);
    }

    /// Cancels the request's attempts in flight except `kept`, if cancelling is permitted.
    pub(super) fn cancel_attempts_except(
        &self,
        id: RequestId,
        kept: Option<u16>,
        context: &mut EventContext,
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
                context.actions.push(Action::Cancel {
                    request: id,
                    attempt: number,
                });
            }
        }
    }

    /// Removes the request if it is closed and awaits neither the counter nor an attempt.
    pub(super) fn remove_if_finished(&mut self, id: RequestId, context: &mut EventContext) {
        if self.requests.get(&id).is_some_and(Request::is_finished) {
            self.requests.remove(&id);
            context.finished_requests.push(id);
        }
    }
}

/// Returns [`Action::Reject`] if the client may safely retry, after `wait_seconds`, and
/// [`Action::Fail`] otherwise.
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

/// Whether the client may safely retry the request, through any ingress.
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
