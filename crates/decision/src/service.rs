//! One service: its requests from their coming to their answer, and its servers by what their
//! answers tell.

use crate::aperture::LEAST_REACH;
use crate::choice::LOAD_OF_AIM;
use crate::dispatcher::Context;
use crate::quota::Verdict;
use crate::roster::Roster;
use crate::util::ewma::{Ewma, SampleWeight};
use crate::util::held_random::HeldSample;
use crate::util::timer_queue::TimerQueue;
use crate::util::EPSILON as EPS;
use crate::util::{duration, seconds};
use crate::{action::*, event::*, ids::*, settings::*};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Mean answers of waiting, summed over what is out, until a server counts as silent: for
/// exponential work a false timer has a chance of about exp(-9). It then gets a trial so often,
/// with what may be copied.
const SILENCE: f64 = 9.0;
const TRIAL_AFTER: f64 = 2.0;
/// A copy or a move is thought of after so many mean answers, or this share of the aim: later it is
/// late.
const PATIENCE: f64 = 3.0;
const PATIENCE_OF_AIM: f64 = 0.45;
const COPY_LOAD: f64 = 0.4; // Copies of what merely hangs go out under this part of the load bound.
/// Further attempts earned by each request sent on, and the most saved up: a small part of the load
/// always.
pub(crate) const RETRY_EARN: f64 = 0.1;
pub(crate) const RETRY_MOST: f64 = 20.0;
/// Time constants, seconds: throughput, its peak; answer times (in answers, in seconds where they
/// are few).
pub(crate) const RATE_TAU: f64 = 0.5;
pub(crate) const PEAK_TAU: f64 = 6.0;
const ANSWERS_AVERAGED: f64 = 30.0;
pub(crate) const LATE_TAU: f64 = 3.0;
/// A failure that came back at once weighs as this many requests held, fading over these seconds.
pub(crate) const FAULT_LOAD: f64 = 3.0;
pub(crate) const FAULT_TAU: f64 = 4.0;
pub(crate) const FAULT_TAU_MOST: f64 = 30.0;
pub(crate) const FAULT_VISITS: f64 = 2.0;
/// How much each opening of a connection counts in their mean; from this share refused on, a server
/// that never answered here is taken to refuse too. One of them is tried again each TRIAL_AFTER.
const CONNECT_SHARE: f64 = 0.3;
pub(crate) const MOST_REFUSE: f64 = 0.5;
/// Load reports are averaged, each counting this much or by the seconds since the last; they fade
/// so too towards the fleet's mean, and weigh this much of a request held here.
const REPORT_SHARE: f64 = 0.03;
pub(crate) const REPORT_TAU: f64 = 5.0;
pub(crate) const REPORT_WEIGHT: f64 = 0.5;
/// Least time between probes of a server, and those earned by each request: all gateways probe as
/// they work.
const PROBE_EVERY: f64 = 1.0;
const PROBE_EARN: f64 = 0.2;
const PROBES_BORNE: f64 = 8.0; // A second at each server, of all gateways together.
pub(crate) const SWEEP_EVERY: f64 = 0.05;

/// A server's circuit breaker: does it take connections from this gateway, by the last attempt at
/// it?
#[derive(Default, PartialEq)]
pub(crate) enum Breaker {
    #[default]
    Untried,
    Closed,
    Open,
}

#[derive(Default)]
pub(crate) struct Endpoint {
    pub entry: EndpointEntry,
    pub ready: bool,
    pub part: f64, // Of it, that lies in this gateway's aperture.
    pub out: BTreeMap<(RequestId, u16), (f64, usize)>, // Attempts out: (request, attempt) to (sent, class).
    pub heard: f64,
    pub slowness: f64, // Answer time relative to the fleet's for the same class.
    pub answers: f64,
    pub load: Ewma, // As its reports tell it.
    pub breaker: Breaker,
    pub faults: f64, // Failures that came back at once, fading.
    pub fault_at: f64,
    pub silent: bool,
    pub retry_at: f64,
    pub probed: f64,
    /// Sends within the cold budget's span, newest last, and the span's draw for what is left of
    /// one.
    pub sends: VecDeque<f64>,
    pub draw: HeldSample,
}

/// What the answers of a service tell, and the budgets that requests earn for further attempts and
/// probes.
#[derive(Default)]
pub(crate) struct Flow {
    pub rate: f64, // Aims answered a second (each answer counts its class's), the peak remembered, and when.
    pub peak: f64,
    pub at: f64,
    pub lateness: Ewma, // Answer time as a share of the aim.
    pub answers: f64,
    pub retries: f64,
    pub refusing: f64, // Share of the openings that were refused, and when a refusing server is tried again.
    pub half_open: f64,
    pub draw: HeldSample, // For what is left of one in the load bound.
    pub health_checks: f64,
}

pub(crate) struct Attempt {
    pub endpoint: EndpointId,
    pub sent: f64,
    pub open: bool,
    pub harmless: bool, // Its end proves that it never ran.
}

pub(crate) struct Request {
    pub asked: IncomingRequest,
    pub end: f64,
    pub waiting: bool, // Waiting for the counter's total.
    pub done: bool,
    pub streaming: bool,
    pub attempts: Vec<Attempt>,
}

#[derive(Clone, Copy)]
pub(crate) enum Timer {
    Decide(RequestId),
    Patience(RequestId),
    End(RequestId),
    Sweep,
}

/// One service. Nothing that happens to one of them costs or changes another.
pub(crate) struct Service {
    pub settings: Arc<Settings>,
    pub rng: fastrand::Rng,
    pub requests: BTreeMap<RequestId, Request>,
    // Those within reach: all of the roster, unless it is long.
    pub endpoints: BTreeMap<EndpointId, Endpoint>,
    pub roster: Roster,
    pub means: Vec<f64>, // Mean answer time of each class.
    pub flow: Flow,
    pub timers: TimerQueue<Timer>,
    sweeping: bool,
}

impl Service {
    pub(crate) fn new(settings: &Arc<Settings>, seed: u64, t: f64) -> Service {
        // Not quick until answers say so: at the start all gateways would fill the servers at once.
        let lateness = Ewma {
            value: LOAD_OF_AIM,
            updated_at: t,
        };
        let flow = Flow {
            lateness,
            at: t,
            retries: 1.0,
            health_checks: 1.0,
            ..Flow::default()
        };
        Service {
            settings: Arc::clone(settings),
            rng: fastrand::Rng::with_seed(seed),
            requests: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            roster: Roster::default(),
            // Until answers tell, a class's work is taken as an eighth of its aim.
            means: settings
                .classes
                .iter()
                .map(|c| seconds(c.latency_objective) / 8.0)
                .collect(),
            flow,
            timers: TimerQueue::default(),
            sweeping: false,
        }
    }

    pub(crate) fn on_request(&mut self, r: &IncomingRequest, cx: &mut Context) {
        let class = &self.settings.classes[r.class];
        // Answered two rounds before the client gives up. Where a late answer is worth nothing, the
        // end is the aim: what is still out then only takes room from requests that can make it.
        let mut end = cx.t + seconds(r.time_left) - 2.0 * seconds(self.settings.tick);
        if class.late_weight_ratio <= 0.0 && class.objective_per_work <= 0.0 {
            end = end.min(cx.t + seconds(class.latency_objective));
        }
        let (end, waiting, done, streaming) = (end.max(cx.t), true, false, false);
        let request = Request {
            asked: *r,
            end,
            waiting,
            done,
            streaming,
            attempts: Vec::new(),
        };
        self.requests.insert(r.request, request);
        self.timers.set(duration(end), Timer::End(r.request));
        self.flow.health_checks = (self.flow.health_checks + PROBE_EARN).min(RETRY_MOST);
        if !self.sweeping {
            self.sweep(cx);
        }
        match cx.quotas.admit(r, &mut self.rng, cx.t, cx.out) {
            Verdict::AwaitCounter { wait_seconds } => self
                .timers
                .set(duration(cx.t + wait_seconds), Timer::Decide(r.request)),
            Verdict::DecideLocally => self.decide_alone(r.request, true, cx),
            Verdict::ConcurrencyLimit => self.refuse(r.request, cx),
        }
    }

    /// Decides without a total. `owed`: no add is out for it.
    pub(crate) fn decide_alone(&mut self, id: RequestId, owed: bool, cx: &mut Context) {
        let Some(r) = self.requests.get(&id) else {
            return;
        };
        let room = cx.quotas.decide_locally(&r.asked, owed, cx.t);
        self.decided(id, room, false, cx);
    }

    pub(crate) fn decided(&mut self, id: RequestId, room: bool, confirmed: bool, cx: &mut Context) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| r.waiting) else {
            return;
        };
        r.waiting = false;
        let IncomingRequest {
            customer,
            units,
            class,
            ..
        } = r.asked;
        if r.done {
            // Ended while it waited: nothing was sent on, so its units go back.
            if let Some(l) = cx.quotas.get_mut(customer).filter(|_| room) {
                l.refund(units);
            }
            return self.forget(id, cx);
        }
        let best = self.pick(id, cx.t);
        // Drawn once for a few answers: drawn for each try, all gateways would fill up to the next
        // one.
        self.flow
            .draw
            .renew(cx.t, PATIENCE * self.means[class], &mut self.rng);
        let overloaded = self.overloaded(class, self.flow.draw.value, cx.t) && !self.is_alone(cx);
        let Some(ledger) = cx.quotas.get_mut(customer).filter(|_| room) else {
            return self.refuse(id, cx);
        };
        match best {
            Some(endpoint) if !overloaded => {
                ledger.start_request(units, confirmed);
                self.flow.retries = (self.flow.retries + RETRY_EARN).min(RETRY_MOST);
                self.send(id, endpoint, cx);
            }
            _ => {
                ledger.refund(units);
                self.refuse(id, cx);
            }
        }
    }

    fn send(&mut self, id: RequestId, endpoint: EndpointId, cx: &mut Context) {
        let (Some(r), Some(s)) = (
            self.requests.get_mut(&id),
            self.endpoints.get_mut(&endpoint),
        ) else {
            return;
        };
        let (class, number) = (r.asked.class, r.attempts.len() as u16);
        r.attempts.push(Attempt {
            endpoint,
            sent: cx.t,
            open: true,
            harmless: false,
        });
        if s.out.is_empty() {
            s.heard = cx.t;
        }
        s.out.insert((id, number), (cx.t, class));
        if s.breaker != Breaker::Closed {
            self.flow.half_open = cx.t + TRIAL_AFTER;
        }
        s.sends.push_back(cx.t);
        s.retry_at = cx.t + TRIAL_AFTER;
        cx.out.push(Action::Forward {
            request: id,
            endpoint,
            deadline: duration(r.end),
        });
        let latest = PATIENCE_OF_AIM * seconds(self.settings.classes[class].latency_objective);
        self.timers.set(
            duration(cx.t + latest.min(PATIENCE * self.means[class])),
            Timer::Patience(id),
        );
    }

    pub(crate) fn on_ended(&mut self, e: &AttemptEnd, cx: &mut Context) {
        let harmless = matches!(
            e.outcome,
            Outcome::Overloaded | Outcome::ConnectFailed | Outcome::NotStarted
        );
        let Some(r) = self.requests.get_mut(&e.request) else {
            return;
        };
        let Some(a) = r
            .attempts
            .get_mut(usize::from(e.attempt))
            .filter(|a| a.open)
        else {
            return;
        };
        (a.open, a.harmless) = (false, harmless);
        let (
            endpoint,
            IncomingRequest {
                customer,
                units,
                class,
                ..
            },
        ) = (a.endpoint, r.asked);
        self.learn(endpoint, class, e, cx.t, cx.resumed_at);
        self.on_load(endpoint, e.load, cx.t);
        if let Some(l) = cx.quotas.get_mut(customer) {
            // Guessed units: the difference rides on the customer's next add.
            let more = e
                .true_units
                .filter(|u| u.is_finite())
                .map_or(0.0, |u| u.max(0.0) - units);
            l.correct_estimate(more);
        }
        if e.finished || e.outcome == Outcome::Ok {
            return self.close(e.request, cx);
        }
        self.go_on(e.request, cx);
        self.forget(e.request, cx);
    }

    fn go_on(&mut self, id: RequestId, cx: &mut Context) {
        let idle = |r: &&Request| !r.done && r.attempts.iter().all(|a| !a.open);
        let Some(r) = self.requests.get(&id).filter(idle) else {
            return;
        };
        let harmless = r.attempts.last().is_some_and(|a| a.harmless);
        let in_time = cx.t + self.means[r.asked.class] < r.end;
        if in_time && self.flow.retries >= 1.0 {
            if let Some(endpoint) = self.pick(id, cx.t) {
                self.flow.retries -= if harmless { 0.5 } else { 1.0 };
                return self.send(id, endpoint, cx);
            }
        }
        self.refuse(id, cx);
    }

    pub(crate) fn on_stream(&mut self, id: RequestId, attempt: u16, cx: &mut Context) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.done) else {
            return;
        };
        r.streaming |= usize::from(attempt) < r.attempts.len();
        self.cancel_others(id, Some(attempt), cx);
    }

    fn cancel_others(&mut self, id: RequestId, keep: Option<u16>, cx: &mut Context) {
        let Some(r) = self
            .requests
            .get(&id)
            .filter(|_| self.settings.permissions.cancel)
        else {
            return;
        };
        for (n, a) in r.attempts.iter().enumerate() {
            if a.open && keep != Some(n as u16) {
                cx.out.push(Action::Cancel {
                    request: id,
                    attempt: n as u16,
                });
            }
        }
    }

    /// The request is over for the client: nothing more goes out for it.
    pub(crate) fn close(&mut self, id: RequestId, cx: &mut Context) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.done) else {
            return self.forget(id, cx);
        };
        r.done = true;
        if let Some(l) = cx
            .quotas
            .get_mut(r.asked.customer)
            .filter(|_| !r.attempts.is_empty())
        {
            l.end_request();
        }
        self.cancel_others(id, None, cx);
        self.forget(id, cx);
    }

    fn forget(&mut self, id: RequestId, cx: &mut Context) {
        let over = |r: &Request| r.done && !r.waiting && !r.attempts.iter().any(|a| a.open);
        if self.requests.get(&id).is_some_and(over) {
            self.requests.remove(&id);
            cx.over.push(id);
        }
    }

    /// Answers finally: refused where rule 2 lets us say so, else failed.
    fn refuse(&mut self, id: RequestId, cx: &mut Context) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.done) else {
            return;
        };
        let ran = r.attempts.iter().any(|a| !a.harmless);
        let idempotency = self.settings.classes[r.asked.class].idempotency;
        let may = !ran
            || matches!(
                idempotency,
                Idempotency::Idempotent
                    | Idempotency::IdempotencyKey {
                        group: DeduplicationScope::All,
                        ..
                    }
            );
        // Advice: the time in which one such request is refilled, or in which what is out here is
        // answered: without any, clients of a load refusal come back at once; longer, and their
        // next try is late.
        let (permissions, ledger) = (&self.settings.permissions, cx.quotas.get(r.asked.customer));
        let refill = ledger.map_or(0.0, |l| l.bucket.seconds_until_available(r.asked.units));
        let retry_after = permissions.retry_after.then(|| {
            duration(refill.max(self.means[r.asked.class])).min(permissions.max_retry_after)
        });
        cx.out.push(if may {
            Action::Reject {
                request: id,
                retry_after,
            }
        } else {
            Action::Fail { request: id }
        });
        self.close(id, cx);
    }

    pub(crate) fn on_timer(&mut self, timer: Timer, cx: &mut Context) {
        match timer {
            Timer::Decide(id) => {
                if self.requests.get(&id).is_some_and(|r| r.waiting && !r.done) {
                    self.decide_alone(id, false, cx);
                }
            }
            Timer::End(id) => match self.requests.get(&id).filter(|r| !r.done && !r.streaming) {
                Some(r) if r.attempts.is_empty() => self.refuse(id, cx),
                Some(_) => {
                    cx.out.push(Action::Fail { request: id });
                    self.close(id, cx);
                }
                None => {}
            },
            Timer::Patience(id) => self.lost_patience(id, cx),
            Timer::Sweep => self.sweep(cx),
        }
    }

    /// Guards against silent servers and against single answers that hang: a second copy where the
    /// class and the budget allow; where copies are forbidden, a move away from a server that looks
    /// silent.
    fn lost_patience(&mut self, id: RequestId, cx: &mut Context) {
        self.watch(cx);
        let Some(r) = self.requests.get(&id).filter(|r| !r.done && !r.streaming) else {
            return;
        };
        let Some(last) = r.attempts.last().filter(|a| a.open) else {
            return;
        };
        let silent = self.ejects()
            && self
                .endpoints
                .get(&last.endpoint)
                .is_none_or(|s| s.silent || !s.ready);
        let class = r.asked.class;
        if cx.t + self.means[class] >= r.end {
            return;
        }
        let busy =
            self.flow.lateness.value > COPY_LOAD * LOAD_OF_AIM || self.overloaded(class, 1.0, cx.t);
        let may = self.flow.retries >= 1.0 && (silent || !busy);
        let permissions = &self.settings.permissions;
        let movable = silent && permissions.cancel && self.repeatable(r, 4.0, cx.t);
        if may && permissions.hedging && r.attempts.iter().filter(|a| a.open).count() < 2 {
            if let Some(endpoint) = self.pick(id, cx.t) {
                self.flow.retries -= 1.0;
                return self.send(id, endpoint, cx);
            }
        } else if may && !permissions.hedging && movable {
            return cx.out.push(Action::Cancel {
                request: id,
                attempt: r.attempts.len() as u16 - 1,
            });
        }
        self.timers
            .set(duration(cx.t + self.means[class]), Timer::Patience(id));
    }

    /// Takes in how an attempt at a server ended; the gateway's own last stall ended at `resumed`.
    fn learn(&mut self, endpoint: EndpointId, class: usize, e: &AttemptEnd, t: f64, resumed: f64) {
        let eject = self.ejects();
        // Most ends are answers, which weigh no fault: they need no walk over the servers.
        let fault_tau = if e.outcome == Outcome::Ok {
            FAULT_TAU
        } else {
            self.fault_tau()
        };
        let Some(s) = self.endpoints.get_mut(&endpoint) else {
            return;
        };
        let (outcome, took) = (e.outcome, seconds(e.elapsed));
        s.out.remove(&(e.request, e.attempt));
        // Guards against servers that take no new connections, from all of us or from some, and
        // against dead ones still listed. Who comes by once in many seconds must remember until an
        // attempt gets through. Harm: after a short refusal by all, one server is taken back at a
        // time, until trials succeed.
        let refused = outcome == Outcome::ConnectFailed;
        if refused
            || !matches!(
                outcome,
                Outcome::Reset | Outcome::Cancelled | Outcome::NotStarted
            )
        {
            if s.breaker == Breaker::Untried || (s.breaker == Breaker::Open && !refused) {
                self.flow.refusing +=
                    (f64::from(u8::from(refused)) - self.flow.refusing) * CONNECT_SHARE;
                // One that takes us calls for the next trial at once.
                self.flow.half_open = if refused { self.flow.half_open } else { t };
            }
            s.breaker = if refused {
                Breaker::Open
            } else {
                Breaker::Closed
            };
        }
        if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Overloaded) {
            (s.heard, s.silent) = (t, false);
        }
        // Guards against servers that fail fast: they hold little and would draw everything. By
        // time-outs, with no answer since, against jammed, slow and hung ones, where one request
        // waits at a time and is never silence. Harm: a server with a few chance errors or long
        // tasks gets less for some seconds.
        let lost = outcome == Outcome::Timeout && s.heard <= t - took && t - took >= resumed;
        if lost
            || matches!(
                outcome,
                Outcome::Error | Outcome::Overloaded | Outcome::ConnectFailed | Outcome::Reset
            )
        {
            (s.faults, s.fault_at) = (s.faults * ((s.fault_at - t) / fault_tau).exp() + 1.0, t);
        }
        let latency_objective = seconds(self.settings.classes[class].latency_objective);
        let stalled = t - took < resumed;
        if matches!(outcome, Outcome::Ok | Outcome::Timeout) && !(s.silent && eject) && !stalled {
            self.flow.lateness.add(
                took / latency_objective,
                t,
                LATE_TAU,
                SampleWeight {
                    min: 1.0 / ANSWERS_AVERAGED,
                    max: 0.25,
                },
            );
        }
        if outcome == Outcome::Ok {
            if !stalled {
                let (classes, mean) = (self.means.len() as f64, &mut self.means[class]);
                // The first answers weigh more: servers are judged by it, and would be by when they
                // answered.
                *mean += (took - *mean) / (1.0 + self.flow.answers / classes).min(ANSWERS_AVERAGED);
                (*mean, self.flow.answers) = (mean.max(1e-3), self.flow.answers + 1.0);
                let ratio = (took / mean.max(EPS)).min(4.0);
                s.answers = (s.answers + 1.0).min(4.0 * ANSWERS_AVERAGED - 8.0);
                s.slowness =
                    (s.slowness + (ratio - s.slowness) / (8.0 + s.answers)).clamp(0.5, 2.0);
            }
            let dt = t - self.flow.at;
            self.flow.rate = self.flow.rate * (-dt / RATE_TAU).exp() + 1.0 / RATE_TAU;
            self.flow.peak = (self.flow.peak * (-dt / PEAK_TAU).exp()).max(self.flow.rate);
            self.flow.at = t;
        }
    }

    fn on_load(&mut self, endpoint: EndpointId, load: Option<LoadReport>, t: f64) {
        let (Some(s), Some(load)) = (self.endpoints.get_mut(&endpoint), load) else {
            return;
        };
        let good = |v: Option<f64>| v.filter(|v| v.is_finite()).map(|v| v.max(0.0));
        let held = good(load.in_flight).or(good(load.queued)).unwrap_or(0.0);
        // Single reports are stale: gateways that follow them run from server to server together.
        // Their mean tells a server that is slow or short of cores for all of us. Where they come
        // seldom each counts.
        s.load.add(
            held,
            t,
            REPORT_TAU,
            SampleWeight {
                min: REPORT_SHARE,
                max: 1.0,
            },
        );
    }

    pub(crate) fn on_probed(
        &mut self,
        endpoint: EndpointId,
        outcome: Outcome,
        load: Option<LoadReport>,
        t: f64,
    ) {
        self.on_load(endpoint, load, t);
        if let Some(s) = self
            .endpoints
            .get_mut(&endpoint)
            .filter(|_| outcome == Outcome::Ok)
        {
            (s.heard, s.silent) = (t, false);
        }
    }

    /// Marks servers silent: what is out there has waited for many mean answers together and none
    /// has come.
    fn watch(&mut self, cx: &mut Context) {
        for (id, s) in self
            .endpoints
            .iter_mut()
            .filter(|(_, s)| s.ready && !s.silent)
        {
            let since = s.heard.max(cx.resumed_at);
            let wait = |(sent, class): &(f64, usize)| {
                (cx.t - sent.max(since)) / self.means[*class].max(EPS)
            };
            if s.out.values().map(wait).sum::<f64>() > SILENCE {
                (s.silent, s.retry_at) = (true, cx.t + TRIAL_AFTER);
                cx.out.push(Action::Log(Notice::EndpointUnresponsive(*id)));
            }
        }
    }

    /// What time brings on, while there are requests: silent servers, sends that count no more,
    /// probes.
    fn sweep(&mut self, cx: &mut Context) {
        self.watch(cx);
        let (t, span) = (cx.t, self.span());
        for s in self.endpoints.values_mut() {
            s.draw.renew(t, span, &mut self.rng);
            while s.sends.pop_front_if(|at| *at < t - span).is_some() {}
        }
        let any = self.settings.load_reports_on_health_check;
        let every = PROBE_EVERY.max(f64::from(self.settings.ingress_count) / PROBES_BORNE);
        let wanted = |s: &Endpoint| s.ready && (s.silent || any) && t >= s.probed + every;
        while self.settings.permissions.health_checks && self.flow.health_checks >= 1.0 {
            let oldest = self.endpoints.iter_mut().filter(|(_, s)| wanted(s));
            let Some((&id, s)) = oldest.min_by(|a, b| a.1.probed.total_cmp(&b.1.probed)) else {
                break;
            };
            s.probed = t;
            self.flow.health_checks -= 1.0;
            cx.out.push(Action::CheckHealth { endpoint: id });
        }
        self.drop_gone();
        self.sweeping = !self.requests.is_empty();
        if self.sweeping {
            self.timers.set(duration(t + SWEEP_EVERY), Timer::Sweep);
        }
    }

    fn drop_gone(&mut self) {
        self.endpoints.retain(|_, s| s.ready || !s.out.is_empty());
    }

    /// A whole list has come: what it does not name is gone.
    pub(crate) fn replace(&mut self, entries: &[EndpointEntry], t: f64) {
        self.endpoints.values_mut().for_each(|s| s.ready = false);
        self.roster.clear();
        entries.iter().for_each(|e| self.update(e, t));
        self.drop_gone();
    }

    /// Rule 3 by construction: from the moment it is told, nothing new goes to a draining or gone
    /// server.
    pub(crate) fn update(&mut self, e: &EndpointEntry, t: f64) {
        self.roster.update(e);
        if self.roster.len() as f64 <= LEAST_REACH || self.endpoints.contains_key(&e.endpoint) {
            self.take_in(*e, t);
        }
    }

    /// Takes a server's entry into its state, which is made if there is none.
    pub(crate) fn take_in(&mut self, entry: EndpointEntry, t: f64) {
        let draw = HeldSample {
            value: self.rng.f64(),
            drawn_at: 0.0,
        };
        // Each gateway probes in an order of its own: else all would know, and take, the same few.
        let probed = -draw.value;
        let new = || Endpoint {
            entry,
            draw,
            probed,
            heard: t,
            slowness: 1.0,
            ..Endpoint::default()
        };
        let s = self.endpoints.entry(entry.endpoint).or_insert_with(new);
        if s.entry.started_at != entry.started_at {
            (s.silent, s.slowness, s.heard, s.breaker) = (false, 1.0, t, Breaker::Untried);
        }
        (s.entry, s.ready) = (entry, entry.state == EndpointState::Ready);
        if !s.ready && s.out.is_empty() {
            self.endpoints.remove(&entry.endpoint);
        }
    }
}
