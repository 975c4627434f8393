//! Passes events to the decision module and converts its actions to outputs.

use super::RequestEngine;
use crate::output::{Output, Response};
use crate::slots::Key;
use roseyard_decision::{Action, EndpointId, Event, RequestId, TimerTag};
use std::time::Duration;

impl<O, C, V> RequestEngine<O, C, V> {
    /// Returns the next output; `None` once all events have been handled and no output is left.
    pub fn poll(&mut self, now: Duration) -> Option<Output<O, V>> {
        loop {
            if let Some(output) = self.outputs.pop_front() {
                return Some(output);
            }
            let event = self.events.pop_front()?;
            self.handle_event(event, now);
        }
    }

    /// Whether [`RequestEngine::poll`] has outputs to return or events to handle.
    pub fn has_pending(&self) -> bool {
        !self.events.is_empty() || !self.outputs.is_empty()
    }

    /// Returns the time at which [`RequestEngine::on_due`] has to be called; `None` if no timer is
    /// set.
    pub fn due(&self) -> Option<Duration> {
        self.due
    }

    /// Called when the time returned by [`RequestEngine::due`] has been reached.
    pub fn on_due(&mut self) {
        if self.due.take().is_some() {
            self.events.push_back(Event::TimerExpired(TimerTag(0)));
        }
    }

    fn handle_event(&mut self, event: Event, now: Duration) {
        let ended_request = ended_request(&event);
        let mut actions = std::mem::take(&mut self.actions);
        self.dispatcher.handle(now, event, &mut actions);
        for action in actions.drain(..) {
            self.apply_action(action, now);
        }
        self.actions = actions;
        if let Some(request) = ended_request {
            self.remove_if_done(Key::unpack(request.0));
        }
    }

    fn apply_action(&mut self, action: Action, now: Duration) {
        match action {
            Action::Forward {
                request,
                endpoint,
                deadline,
            } => self.forward(Key::unpack(request.0), endpoint, deadline, now),
            Action::Reject {
                request,
                retry_after,
                reason,
            } => self.respond(
                Key::unpack(request.0),
                Response::Rejected {
                    retry_after,
                    reason,
                },
            ),
            Action::Fail { request } => self.respond(Key::unpack(request.0), Response::Failed),
            Action::Cancel { request, attempt } => self.outputs.push_back(Output::Cancel {
                request: Key::unpack(request.0),
                attempt,
            }),
            Action::IncrementCounter {
                key,
                amount,
                time_to_live,
            } => self.outputs.push_back(Output::IncrementCounter {
                key,
                amount,
                time_to_live,
            }),
            Action::SetTimer { after, .. } => self.set_timer(now + after),
            Action::CheckHealth { endpoint } => {
                self.outputs.push_back(Output::CheckHealth { endpoint });
            }
            Action::Subscribe | Action::FetchEndpointList => {
                self.outputs.push_back(Output::FetchEndpointList);
            }
            Action::Log(notice) => self.outputs.push_back(Output::Log(notice)),
        }
    }

    /// Starts an attempt, unless the request no longer exists or already has an attempt in flight.
    fn forward(&mut self, request: Key, endpoint: EndpointId, deadline: Duration, now: Duration) {
        let attempt = self
            .requests
            .get_mut(request)
            .and_then(|request| request.start_attempt(endpoint, now));
        if let Some(attempt) = attempt {
            self.outputs.push_back(Output::Forward {
                request,
                attempt,
                endpoint,
                deadline,
            });
        }
    }

    /// Sets a timer. Only the earliest one is kept: the decision module never cancels a timer, and
    /// sets a new one when the earliest expires.
    fn set_timer(&mut self, at: Duration) {
        self.due = Some(self.due.map_or(at, |due| due.min(at)));
    }
}

/// Returns the request that an event may end.
fn ended_request(event: &Event) -> Option<RequestId> {
    match event {
        Event::ClientDisconnected(request) => Some(*request),
        Event::AttemptEnded(end) => Some(end.request),
        _ => None,
    }
}
