//! Customers' quotas, over all gateways and services: what may pass, with the counter's totals and
//! without.

use crate::dispatcher::Counted;
use crate::ledgers::Ledgers;
use crate::util::{duration, seconds};
use crate::{action::*, event::*, ids::*, settings::*};
use fastrand::Rng;
use std::collections::VecDeque;
use std::sync::Arc;

/// A total is awaited for this share of the shortest aim; then the ledger decides.
const WAIT_OF_AIM: f64 = 0.08;
/// A customer of whom fewer tries come here in a window, and which more than FEW gateways share, is
/// rare: the ledger is older than the count, and only the fleet's total or the share that passed
/// can decide.
const RARE: f64 = 2.0;
const FEW: f64 = 6.0;
const ALIKE: f64 = 0.5; // Part of what is granted here without a total that each other one grants.
/// The share of tries that ask the counter falls to DOWN of itself for each failed or late answer
/// and grows by UP for each well inside the wait; never under LEAST: a slow counter's last totals
/// are worth its line.
const PACE_DOWN: f64 = 0.7;
const PACE_UP: f64 = 1.3;
const PACE_LEAST: f64 = 0.2;
const LEAST_TAU: f64 = 10.0; // In so long the counter's least time is forgotten.
/// A rare customer's try without a total passes if it is likely enough to be inside the quota: a
/// guess for first tries and for those that a client makes again (most customers stay inside, and
/// the refused come again), which weighs as so many totals; totals older than so many fade.
const INSIDE: [f64; 2] = [0.6, 0.3];
const GUESS_WEIGHS: f64 = 5.0;
const TOTALS_KEPT: f64 = 40.0;
/// Share of a ceiling that is spent only on a confirmed total; the rest is split evenly for
/// spending alone. One half lets a single informed gateway of up to four pass a whole quota under a
/// ceiling of 1.6 quotas; where more than FEW share it totals come rarely, and most of the ceiling
/// must do without them.
const POOLED: f64 = 0.5;
const POOLED_OF_MANY: f64 = 0.25;
const SLACK_USED: f64 = 0.8; // Of the ceiling's slack; the rest covers rounding on the counter.
pub(crate) const FORGET_AFTER: f64 = 30.0; // Idle ledgers are dropped: many customers come just once.
pub(crate) const STALL: f64 = 0.25; // A gap so long between events, while requests are swept, is our own.
use crate::util::EPSILON as EPS;

/// What this gateway knows of one customer's quota: the bucket as the totals on the counter show
/// it.
#[derive(Default)]
pub(crate) struct Ledger {
    pub rate: f64,
    pub burst: f64,
    pub window: f64,
    pub ingress_count: f64,
    pub level: f64, // Units left; the total that still passes is `known + level`.
    pub at: f64,
    pub known: f64, // Last total and when this life of the name was first seen; none: never seen.
    pub life: Option<f64>,
    pub carry: f64, // Due with the next add: units granted but not added (+), added but refused (-).
    pub others: f64, // The others' units a second, and what was assumed of them since the last total.
    pub assumed: f64,
    pub spent: f64, // Granted here since the last total.
    pub answered: f64,
    pub calls: VecDeque<Call>,
    pub seen: f64, // Own tries of about a window.
    pub plan: usize,
    pub alone: f64, // Ceiling: what may be spent alone, and what may be spent on a confirmed total.
    pub pool: f64,
    pub ceiling: Option<(f64, f64)>,
    pub open: u32,
}

pub(crate) struct Call {
    pub request: IncomingRequest,
    pub add: f64,
    pub counted: bool,         // Are its own units in the add?
    pub decided: Option<bool>, // Decided before the answer: was it granted?
}

impl Ledger {
    fn new(plan: &Plan, ingress_count: f64, counted: bool, now: f64, index: usize) -> Ledger {
        let window = (plan.burst / plan.rate.max(EPS)).clamp(0.1, 60.0); // a counter's longest
        let ceiling = (plan.ceiling_rate > 0.0).then_some((
            plan.ceiling_rate,
            plan.ceiling_burst + plan.ceiling_slack * SLACK_USED,
        ));
        let (rate, burst) = (plan.rate, plan.burst);
        let mut l = Ledger {
            rate,
            burst,
            window,
            ingress_count,
            ceiling,
            plan: index,
            ..Ledger::default()
        };
        (l.at, l.answered) = (now, now);
        // Without a total: most customers use less than half of their quota. The ceiling starts
        // with nothing: before this gateway's own restart its former self may have spent it all
        // (rule 5).
        l.level = plan.burst / 2.0;
        // Where no total ever comes, the others are taken to use their even part of the rate.
        l.others = if counted {
            0.0
        } else {
            plan.rate * (ingress_count - 1.0) / ingress_count
        };
        l
    }

    pub(crate) fn has_rested(&self, t: f64) -> bool {
        self.calls.is_empty() && self.open == 0 && t >= self.at + FORGET_AFTER
    }

    pub(crate) fn refill(&mut self, now: f64) {
        let dt = (now - self.at).max(0.0);
        self.at = now;
        self.seen *= (-dt / self.window).exp();
        if dt >= self.window && self.ingress_count > FEW {
            // The life is over and with it what was owed or taken back; the next total tells as to
            // a newcomer. Guards against customers seen rarely: debts of minutes, adds of nothing.
            (self.carry, self.life, self.level, self.assumed) = (0.0, None, self.burst, 0.0);
        }
        let full = (self.level + self.rate * dt - self.burst).max(0.0);
        self.level = (self.level + self.rate * dt).min(self.burst);
        if let Some((rate, depth)) = self.ceiling {
            let (pooled, n) = (self.pooled(), self.ingress_count);
            self.alone =
                (self.alone + rate * (1.0 - pooled) / n * dt).min(depth * (1.0 - pooled) / n);
            if !self.rare() {
                self.pool = (self.pool + rate * pooled * dt).min(depth * pooled);
            }
        }
        // Units owed are refilled once the bucket overflows: telling them then would charge them
        // twice. Until then the others must hear of all of them: what a quota in full use owes is
        // not refilled.
        self.carry -= full.min(self.carry.max(0.0));
    }

    /// Takes in a total. What was added beyond the own adds is the others' use since the last one.
    pub(crate) fn settle(&mut self, total: f64, add: f64, now: f64, pace: f64) {
        self.refill(now);
        let newcomer = self.life.is_none();
        // Totals only grow: a lower one, or one after the life's end, is of a fresh one; the level
        // stays.
        let fresh = total + EPS * total.abs() + EPS < self.known + add
            || self.life.is_none_or(|since| now >= since + self.window);
        // What the others added between the last total and the end of the old life is never told:
        // it stays assumed, where totals are few. Guards against a part of a window passed twice at
        // each edge.
        let end = self.life.map_or(self.answered, |since| {
            (since + self.window).clamp(self.answered, now)
        });
        let few = if fresh && !newcomer {
            (2.0 - 2.0 * pace).min(1.0)
        } else {
            0.0
        };
        let unseen = self.others * (end - self.answered) * few;
        self.level = (self.level + self.assumed).min(self.burst) - unseen;
        (self.assumed, self.spent) = (0.0, 0.0);
        if fresh {
            (self.known, self.life) = (0.0, Some(now));
            // Seen rarely: so much of a life; twice (an edge) and all alone parts fill it. Few
            // split it, and keep what is left less the others' unseen use: each new start would
            // spend it once more.
            let half = self
                .ceiling
                .map_or(0.0, |(_, depth)| depth * self.pooled() / 2.0);
            let kept = self.pool - 2.0 * self.others * (end - self.answered);
            let (split, kept) = if self.ingress_count > FEW {
                (1.0, 0.0)
            } else {
                (self.ingress_count, kept)
            };
            self.pool = kept.clamp(if self.seen < RARE { half / split } else { 0.0 }, half);
            self.carry = self.carry.max(0.0);
        }
        let others = (total - self.known - add).max(0.0);
        self.known = total;
        self.pool -= others + add;
        self.level = if newcomer { self.burst } else { self.level };
        // The others' refused tries stand in the total until their next add: the level may owe that
        // much.
        self.level = (self.level - others).max(-self.ingress_count.min(self.burst));
        let dt = (now - self.answered).max(0.0);
        self.answered = now;
        let tau = (2.0 * self.window).max(1.0);
        if !newcomer && !fresh {
            self.others = (self.others * (-dt / tau).exp() + others / tau).min(self.rate);
        }
    }

    /// Decides without a total: the others are taken to go on as last seen, and to grant as this
    /// one does.
    pub(crate) fn assume(&mut self, now: f64) {
        let since = (now - self.answered).max(0.0);
        self.refill(now);
        let alike = if self.ingress_count > FEW {
            0.0
        } else {
            ALIKE * (self.ingress_count - 1.0) * self.spent
        };
        let due =
            (f64::max(self.others * since, alike) - self.assumed).clamp(0.0, self.level.max(0.0));
        (self.level, self.assumed) = (self.level - due, self.assumed + due);
    }

    /// Room in the quota and under the ceiling. Rule 5: each gateway alone spends its even part of
    /// the ceiling; the pooled part only on a total that came back, which holds what all the others
    /// added.
    pub(crate) fn has_room(&self, units: f64, confirmed: bool) -> bool {
        self.under_ceiling(units, confirmed) && (self.rate <= 0.0 || self.level + EPS >= units)
    }

    fn pooled(&self) -> f64 {
        if self.ingress_count > FEW {
            POOLED_OF_MANY
        } else {
            POOLED
        }
    }

    pub(crate) fn rare(&self) -> bool {
        self.seen < RARE && self.ingress_count > FEW
    }

    fn under_ceiling(&self, units: f64, confirmed: bool) -> bool {
        self.ceiling.is_none() || self.alone >= units || (confirmed && self.pool >= 0.0)
    }

    pub(crate) fn grant(&mut self, units: f64, confirmed: bool) {
        (self.level, self.spent) = (self.level - units, self.spent + units);
        if self.ceiling.is_some() && !(confirmed && self.pool >= 0.0) {
            self.alone -= units;
            // What is spent alone does not come out of the pool too.
            self.pool += if confirmed { units } else { 0.0 };
        }
    }
}

/// What a customer's quota says to a request that has come.
pub(crate) enum Verdict {
    Wait(f64), // The counter was asked; the total is waited for so long.
    Alone,     // To be decided without a total.
    TooManyOpen,
}

/// All customers' quotas, and how the counter answers.
pub(crate) struct Quotas {
    settings: Arc<Settings>,
    pub ledgers: Ledgers,
    wait: f64,
    inside: Vec<[(f64, f64); 2]>, // Of each plan's first tries and of others: the share inside, of how many.
    least: f64, // Least time of the counter's answers, forgotten over time, and when last told.
    told: f64,
    short: bool,
    pace: f64,        // Share of tries that ask the counter.
    pub resumed: f64, // When the gateway's own last stall ended.
}

impl Quotas {
    pub(crate) fn new(settings: &Arc<Settings>) -> Quotas {
        let latency_objective = settings
            .classes
            .iter()
            .map(|c| seconds(c.latency_objective))
            .fold(f64::MAX, f64::min);
        let timeout = settings
            .counter
            .as_ref()
            .map_or(0.0, |c| seconds(c.timeout));
        let wait = (latency_objective * WAIT_OF_AIM).min(timeout);
        let inside = vec![INSIDE.map(|share| (share, GUESS_WEIGHS)); settings.plans.len()];
        let (settings, ledgers) = (Arc::clone(settings), Ledgers::default());
        let (least, told, short, pace, resumed) = (0.0, 0.0, false, 1.0, 0.0);
        Quotas {
            settings,
            ledgers,
            wait,
            inside,
            least,
            told,
            short,
            pace,
            resumed,
        }
    }

    /// A request has come: asks the counter, or leaves it to the ledger alone.
    pub(crate) fn enter(
        &mut self,
        r: &IncomingRequest,
        rng: &mut Rng,
        t: f64,
        out: &mut Vec<Action>,
    ) -> Verdict {
        let plan = &self.settings.plans[r.plan];
        let ingress_count = f64::from(r.ingress_count.clamp(1, self.settings.ingress_count));
        let has_counter =
            self.settings.counter.is_some() && (plan.rate > 0.0 || plan.ceiling_rate > 0.0);
        let ledger = self.ledgers.open(r.customer, t, || {
            Ledger::new(plan, ingress_count, has_counter, t, r.plan)
        });
        ledger.ingress_count = ledger.ingress_count.max(ingress_count);
        if plan.max_concurrent > 0
            && f64::from(ledger.open)
                >= (f64::from(plan.max_concurrent) / ledger.ingress_count).ceil()
        {
            return Verdict::TooManyOpen;
        }
        ledger.refill(t);
        ledger.seen += 1.0;
        let asked = rng.f64() < self.pace;
        // A jam is not fed with tries that the ledger refuses anyway, unless others must hear what
        // is owed, nor with those of rare customers that cost nothing beyond the quota: they need
        // no total to pass.
        let hopeless = ledger.level + ledger.assumed < 0.0 && ledger.carry < r.units;
        let free = plan.over_quota_cost <= 0.0 && ledger.ceiling.is_none() && ledger.rare();
        if !has_counter || !asked || (self.pace < 1.0 && (hopeless || free)) {
            return Verdict::Alone;
        }
        // A try that the ledger has no room for asks without adding: its units would stand in the
        // total until this gateway's next add, and take room from the customer's tries elsewhere.
        let counted = ledger.level + EPS >= r.units || ledger.rare();
        let due = ledger.carry + if counted { r.units } else { 0.0 };
        // A rare customer's try speaks for those that were not asked about.
        let speaks = if ledger.rare() {
            1.0 / self.pace.max(0.25)
        } else {
            1.0
        };
        let add = due.max(0.0) * speaks;
        ledger.carry = due.min(0.0);
        ledger.calls.push_back(Call {
            request: *r,
            add,
            counted,
            decided: None,
        });
        out.push(Action::IncrementCounter {
            key: CounterKey(r.customer.0),
            amount: add,
            time_to_live: duration(ledger.window),
        });
        Verdict::Wait(self.wait)
    }

    /// Decides without a total, by the ledger: is there room? `owed`: no add is out for it.
    pub(crate) fn decide_alone(&mut self, r: &IncomingRequest, owed: bool, t: f64) -> bool {
        let Some(ledger) = self.ledgers.get_mut(r.customer) else {
            return false;
        };
        let units = r.units;
        ledger.assume(t);
        let rare = ledger.rare() && self.settings.counter.is_some();
        // To pass is worth the chance of being inside, less the price where it is not. What costs
        // nothing beyond the quota is held by its ceiling and the load alone.
        let cost = self.settings.plans[ledger.plan].over_quota_cost;
        let (inside, _) = self.inside[ledger.plan][usize::from(r.is_retry)];
        let likely = ledger.ingress_count <= FEW || inside * (1.0 + cost) > cost;
        let free = cost <= 0.0;
        let room =
            ledger.under_ceiling(units, false) && (free || likely && ledger.has_room(units, false));
        if let Some(call) = ledger
            .calls
            .iter_mut()
            .find(|c| c.request.request == r.request)
        {
            call.decided = Some(room);
            ledger.carry += if room && !call.counted { units } else { 0.0 };
        } else if room && owed && !rare {
            ledger.carry = (ledger.carry + units).min(ledger.burst);
        }
        room
    }

    /// A call has ended. Hands back its request where that is still to be decided, with what the
    /// total says.
    pub(crate) fn on_counted(
        &mut self,
        name: CounterKey,
        result: CounterResult,
        t: f64,
    ) -> Option<Counted> {
        let ledger = self.ledgers.get_mut(CustomerId(name.0))?;
        let Call {
            request,
            add,
            counted,
            decided,
        } = ledger.calls.pop_front()?;
        let mut room = decided;
        match result {
            CounterResult::Total(total) if total.is_finite() => {
                ledger.settle(total, add, t, self.pace);
                room = room.or(Some(ledger.has_room(request.units, true)));
                let inside = ledger.rate <= 0.0 || ledger.level + EPS >= request.units;
                let (share, of) = &mut self.inside[ledger.plan][usize::from(request.is_retry)];
                *of = (*of + 1.0).min(TOTALS_KEPT);
                *share += (f64::from(u8::from(inside)) - *share) / *of;
            }
            CounterResult::NotAdded => ledger.carry = (ledger.carry + add).min(ledger.burst),
            _ => {} // It may have been added: taken as added.
        }
        // A refused try leaves the count with the next add, which of a rare customer comes too
        // late.
        if room == Some(false) && result != CounterResult::Unknown && counted && !ledger.rare() {
            ledger.carry -= request.units;
        }
        if room == Some(true) && decided.is_none() && !counted {
            ledger.carry += request.units;
        }
        decided.is_none().then_some(Counted {
            request: request.request,
            room,
        })
    }

    /// Guards against a counter that is slow, silent, refusing or short of calls: the share of
    /// tries that ask falls with each failure: a jam is not fed. It grows while answers take little
    /// more than the counter's own least time, however near to the wait that is. Harm: after a
    /// recovery too few ask for some seconds. A call lost within the wait was cut off with its
    /// connection, which tells nothing of the line's length.
    pub(crate) fn counter_heard(
        &mut self,
        result: CounterResult,
        took: f64,
        t: f64,
        out: &mut Vec<Action>,
    ) {
        if t - took < self.resumed || (result == CounterResult::Unknown && took < self.wait) {
            return;
        }
        let took = if let CounterResult::Total(_) = result {
            took
        } else {
            f64::MAX
        };
        let since = t - std::mem::replace(&mut self.told, t);
        self.least = took.min(self.least + self.wait * since / LEAST_TAU);
        let easy = self.least + (self.wait - self.least) / 3.0;
        let change = if took > self.wait {
            PACE_DOWN
        } else {
            PACE_UP.powi(i32::from(took < easy))
        };
        self.pace = (self.pace * change).clamp(PACE_LEAST, 1.0);
        let short = self.pace < if self.short { 1.0 } else { 0.5 };
        if short != self.short {
            self.short = short;
            out.push(Action::Log(if short {
                Notice::CounterDegraded
            } else {
                Notice::CounterRecovered
            }));
        }
    }
}
