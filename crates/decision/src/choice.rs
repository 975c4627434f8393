//! Which server of a service a request goes to, and whether there is room for it.

use crate::aperture::{self, LEAST_ENDPOINTS, LEAST_REACH};
use crate::dispatcher::Context;
use crate::service::*;
use crate::util::seconds;
use crate::util::EPSILON as EPS;
use crate::{ids::*, settings::*};

/// Share of the aim that the mean answer may take before new work is refused: at half one in ten is
/// late.
pub(crate) const LOAD_OF_AIM: f64 = 0.3;
const SEEN_BY: f64 = 4.0; // Up to so many gateways, what each has out itself tells the load of servers.
const TIP_USED: f64 = 0.8; // Of the multiple that a cold server bears.
const OUTSIDE: f64 = 0.01; // Servers beyond this gateway's aperture are tried where those inside fail,
const OUTSIDE_IN_ALL: f64 = 2.0; // all of them together as often as so many inside at most.
const LEAST_OUT: f64 = 2.0; // Out per server, over all gateways, that is never too many: its cores stay idle.
/// The classes that earn least for their work stop at this share of the bound, at up to half while
/// answers come well before LOAD_OF_AIM: on quiet days nobody need go first.
const LEAST_CLASS: f64 = 0.2;

impl Service {
    /// The bound on what is out, by Little's law: out over answered a second is the mean answer
    /// time, held to a share of the aims, lower while answers are slower. Classes that earn least
    /// for their work go first.
    pub(crate) fn overloaded(&self, class: usize, draw: f64, t: f64) -> bool {
        let eject = self.ejects();
        let live = || {
            self.endpoints
                .values()
                .filter(|s| s.ready && !(s.silent && eject))
        };
        let out: usize = live().map(|s| s.out.len()).sum();
        let dt = t - self.flow.at;
        let rate =
            (self.flow.rate * (-dt / RATE_TAU).exp()).max(self.flow.peak * (-dt / PEAK_TAU).exp());
        let density = |(c, mean): (&RequestClass, &f64)| c.priority_weight / mean.max(EPS);
        let top = self
            .settings
            .classes
            .iter()
            .zip(&self.means)
            .map(density)
            .fold(EPS, f64::max);
        let mine = density((&self.settings.classes[class], &self.means[class])) / top;
        // Old lateness fades: a gateway that is seldom asked would go on refusing its few.
        let lateness = self.flow.lateness.value
            * ((self.flow.lateness.updated_at + 1.0 - t).min(0.0) / LATE_TAU).exp();
        let share = LOAD_OF_AIM * mine.max(LEAST_CLASS);
        let floor = LEAST_OUT * live().count() as f64 * self.in_all()
            / f64::from(self.settings.ingress_count);
        let floor = if self.flow.peak > 0.0 {
            floor
        } else {
            1.5 * floor
        };
        let ease = (share / lateness.max(EPS)).min(1.0);
        let bound = rate * seconds(self.settings.classes[class].latency_objective) * share * ease;
        // It swings by about its root: while answers are quick a few more do no harm, else a draw
        // decides. Of many gateways one's own swing tells nothing of the servers: refused for it,
        // customers come again.
        let most = bound.max(floor);
        let root = most.sqrt();
        let wide = self.unseen() * (ease * root).min(most);
        let swing = if lateness < 0.7 * share {
            2.0 * root + 1.0
        } else {
            wide.max(root.min(most / 4.0))
        };
        out as f64 + draw > most + swing
    }

    /// Is one request here, and no more out in all than this gateway's part of what all servers
    /// bear idle?
    pub(crate) fn is_alone(&self, cx: &Context) -> bool {
        let part = LEAST_OUT * cx.endpoints as f64 / f64::from(self.settings.ingress_count);
        self.requests.len() == 1 && cx.requests as f64 - 1.0 + self.flow.draw.value <= part
    }

    /// Servers in all for each within reach.
    fn in_all(&self) -> f64 {
        (self.roster.len() as f64 / self.endpoints.len().max(1) as f64).max(1.0)
    }

    /// The share of what is out at servers that this gateway does not see.
    fn unseen(&self) -> f64 {
        1.0 - (SEEN_BY / f64::from(self.settings.ingress_count)).min(1.0)
    }

    /// May this request go to that server, by the rules on repeats?
    fn allowed(&self, r: &Request, endpoint: &Endpoint, t: f64) -> bool {
        let permissions = &self.settings.permissions;
        let twice = !permissions.hedging && r.attempts.iter().any(|a| a.open);
        if twice || r.attempts.len() >= permissions.max_attempts as usize {
            return false;
        }
        let Some(first) = r.attempts.iter().find(|a| !a.harmless) else {
            return true;
        };
        let Idempotency::IdempotencyKey { group, .. } =
            self.settings.classes[r.asked.class].idempotency
        else {
            return self.repeatable(r, 2.0, t);
        };
        let same = self
            .endpoints
            .get(&first.endpoint)
            .is_some_and(|s| match group {
                DeduplicationScope::All => true,
                DeduplicationScope::Zone => s.entry.zone == endpoint.entry.zone,
                DeduplicationScope::Cell => s.entry.cell == endpoint.entry.cell,
            });
        same && self.repeatable(r, 2.0, t)
    }

    /// May it run again, and would a repeat sent that many rounds from now still be dropped?
    pub(crate) fn repeatable(&self, r: &Request, rounds: f64, t: f64) -> bool {
        let first = r
            .attempts
            .iter()
            .find(|a| !a.harmless)
            .map_or(f64::MAX, |a| a.sent);
        match self.settings.classes[r.asked.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::NonIdempotent => false,
            Idempotency::IdempotencyKey { window, .. } => {
                t + rounds * seconds(self.settings.tick) < first + seconds(window)
            }
        }
    }

    /// When most servers look silent it is a jam or a shared cause: then nobody is ejected, and
    /// what is out at them and their time-outs count against the bound, or the jam would be fed
    /// without end.
    pub(crate) fn ejects(&self) -> bool {
        let silent = self
            .endpoints
            .values()
            .filter(|s| s.ready && s.silent)
            .count();
        2 * silent <= self.endpoints.values().filter(|s| s.ready).count()
    }

    /// The share of its capacity that a server surely has by its age.
    fn warmth(&self, s: &Endpoint, t: f64) -> f64 {
        let g = &self.settings.endpoint_limits;
        let age = s
            .entry
            .started_at
            .map_or(f64::MAX, |at| (t - seconds(at)).max(0.0));
        (g.initial_capacity_ratio
            + (1.0 - g.initial_capacity_ratio) * age / seconds(g.warm_up_duration).max(EPS))
        .min(1.0)
    }

    /// The server that promises most: least work out and told of, for its size, warmth and speed.
    pub(crate) fn pick(&mut self, id: RequestId, t: f64) -> Option<EndpointId> {
        self.lay_ring(t);
        let r = self.requests.get(&id)?;
        let endpoint_limits = &self.settings.endpoint_limits;
        // Rule 4: within its span a cold server gets at most half the multiple of its part of what
        // goes out from here, by aperture and warmth; and, where most are cold, of what would fall
        // to it were all warm, which it can carry then. Nothing sent yet: as much as idle servers
        // bear from all of us.
        let live = self.endpoints.values().filter(|s| s.ready && !s.silent);
        let outside = OUTSIDE.min(OUTSIDE_IN_ALL / self.endpoints.len().max(1) as f64);
        let reach = |s: &Endpoint| s.part.max(outside);
        let (mut full, mut warm, mut sent, mut endpoints) = (EPS, EPS, 0.0, 0.0);
        for s in live {
            let part = reach(s);
            (full, warm, endpoints) = (
                full + part,
                warm + part * self.warmth(s, t),
                endpoints + 1.0,
            );
            sent += s.sends.len() as f64;
        }
        let answer = self.means[r.asked.class]
            .max(seconds(self.settings.classes[r.asked.class].latency_objective) / 8.0);
        let idle = LEAST_OUT * endpoints * self.in_all() * seconds(endpoint_limits.overload_window)
            / answer;
        let sent = f64::max(sent, idle / f64::from(self.settings.ingress_count));
        let multiple = endpoint_limits.overload_multiple.max(1.0);
        let share = sent * (0.5 * multiple / warm).min(TIP_USED * multiple / full);
        let safe = self.settings.classes[r.asked.class].idempotency == Idempotency::Idempotent;
        let may_try = safe && r.attempts.is_empty() && self.settings.permissions.hedging;
        let eject = self.ejects();
        let fault_tau = self.fault_tau();
        let unseen = self.unseen();
        let fading = |s: &Endpoint| (s.load.value, ((s.load.updated_at - t) / REPORT_TAU).exp());
        let reports = self
            .endpoints
            .values()
            .filter(|s| s.ready && s.load.updated_at > 0.0)
            .map(fading);
        let (sum, weights) = reports.fold((0.0, EPS), |(a, b), (load, w)| (a + load * w, b + w));
        let usual = sum / weights;
        let mut best: Option<(bool, f64, EndpointId)> = None;
        let mut trial = None;
        for (&endpoint, s) in &self.endpoints {
            if !s.ready
                || !self.allowed(r, s, t)
                || r.attempts.iter().any(|a| a.endpoint == endpoint)
            {
                continue;
            }
            if s.silent && eject {
                trial = trial.or(Some(endpoint).filter(|_| may_try && t >= s.retry_at));
                continue;
            }
            // A fraction is drawn: hundreds of ones push a cold server over.
            let warmth = self.warmth(s, t);
            let most = warmth * share * reach(s);
            if warmth < 1.0 && s.sends.len() as f64 + s.draw.value >= most {
                continue;
            }
            let faults = FAULT_LOAD * s.faults * (-(t - s.fault_at) / fault_tau).exp();
            let (load, weight) = fading(s);
            let load = usual + (load - usual) * weight;
            let work = 1.0 + s.out.len() as f64 + REPORT_WEIGHT * load + faults;
            let size = s.entry.weight * warmth * reach(s);
            let cross = if s.entry.zone == self.settings.zone {
                1.0
            } else {
                1.02
            };
            let score = work * s.slowness / size * cross * (1.0 + 0.02 * self.rng.f64());
            // Few gateways know nearly all that is out and go by it. Of many each sees next to
            // nothing: all would hold the same large servers best. The least of exponential draws
            // falls to each by its size; what little is known of one weighs twice.
            let draw = if unseen > 0.0 {
                -(1.0 - self.rng.f64()).ln()
            } else {
                1.0
            };
            let score = score * (work * s.slowness * draw.max(EPS)).powf(unseen);
            // Second choice, but once in a while the first, to learn whether it takes us again.
            let refuses = match s.breaker {
                Breaker::Closed => false,
                Breaker::Untried => self.flow.refusing > MOST_REFUSE,
                Breaker::Open => true,
            };
            let refuses = refuses != (t >= self.flow.half_open && r.attempts.is_empty());
            if best.is_none_or(|(b, score_b, _)| (refuses, score) < (b, score_b)) {
                best = Some((refuses, score, endpoint));
            }
        }
        trial.or(best.map(|(_, _, s)| s))
    }

    /// So long each server's sends are remembered: rule 4's span.
    pub(crate) fn span(&self) -> f64 {
        seconds(self.settings.endpoint_limits.overload_window).max(0.5)
    }

    /// A failure fades over some seconds, and not before this gateway would come by again a few
    /// times: where it comes by rarely, each failure would be forgotten by the next request there.
    pub(crate) fn fault_tau(&self) -> f64 {
        let ready = || self.endpoints.values().filter(|s| s.ready);
        let (endpoints, sends) = ready().fold((0.0, 0.0), |(n, sum), s| {
            (n + s.part, sum + s.sends.len() as f64)
        });
        (FAULT_VISITS * self.span() * endpoints / f64::max(sends, 1.0))
            .clamp(FAULT_TAU, FAULT_TAU_MOST)
    }

    /// Which servers are within reach, and which part of each is in the aperture: laid anew after a
    /// change.
    fn lay_ring(&mut self, t: f64) {
        let Some(ring) = self.roster.take_changed_ring() else {
            return;
        };
        let sizes: Vec<f64> = ring.iter().map(|e| e.weight).collect();
        let arc = |least| {
            aperture::parts(
                self.settings.ingress_index,
                self.settings.ingress_count,
                least,
                &sizes,
            )
        };
        let (inside, reach) = (arc(LEAST_ENDPOINTS), arc(LEAST_REACH));
        for ((&entry, part), near) in ring.iter().zip(inside).zip(reach) {
            if near > 0.0 && !self.endpoints.contains_key(&entry.endpoint) {
                self.take_in(entry, t);
            }
            if let Some(s) = self.endpoints.get_mut(&entry.endpoint) {
                (s.part, s.ready) = (part, near > 0.0);
            }
        }
    }
}
