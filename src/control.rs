//! The decision module: every decision, table and tuned value. Its interface is `src/interface.rs`.
//!
//! Ordinary path: a request's units go in one add to its customer's count (`on_request`); the total that
//! comes back is held against the allowance (`on_counted`, `Ledger::settle`); what passes goes to the server
//! that promises most (`decided`, `pick`). Everything else guards that path. Times inside are seconds.

use crate::aperture;
use crate::interface::*;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// A total is awaited for this share of the shortest aim; then the ledger decides.
const WAIT_OF_AIM: f64 = 0.08;
/// A customer of whom fewer tries come here in a window, and which more than FEW gateways share, is seen
/// rarely: the ledger is older than the count, and only the fleet's total or the share that passed can
/// decide.
const RARE: f64 = 2.0;
const FEW: f64 = 6.0;
const ALIKE: f64 = 0.5; // Part of what is granted here without a total that each other one grants.
/// The share of tries that ask the counter falls to DOWN of itself for each failed or late answer and grows
/// by UP for each well inside the wait; never under LEAST: a slow counter's last totals are worth its line.
const PACE_DOWN: f64 = 0.7;
const PACE_UP: f64 = 1.3;
const PACE_LEAST: f64 = 0.2;
const LEAST_TAU: f64 = 10.0; // In so long the counter's least time is forgotten.
/// A rare customer's try without a total passes if it is likely enough to be inside the quota: a guess for
/// first tries and for those that a client makes again (most customers stay inside, and the refused come
/// again), which weighs as so many totals; totals older than so many fade.
const INSIDE: [f64; 2] = [0.6, 0.3];
const GUESS_WEIGHS: f64 = 5.0;
const TOTALS_KEPT: f64 = 40.0;
/// Share of a ceiling that is spent only on a confirmed total; the rest is split evenly for spending alone.
/// One half lets a single informed gateway of up to four pass a whole quota under a ceiling of 1.6 quotas;
/// where more than FEW share it totals come rarely, and most of the ceiling must do without them.
const POOLED: f64 = 0.5;
const POOLED_OF_MANY: f64 = 0.25;
const SLACK_USED: f64 = 0.8; // Of the ceiling's slack; the rest covers rounding on the counter.
/// Mean answers of waiting, summed over what is out, until a server counts as silent: for exponential work
/// a false alarm has a chance of about exp(-9). It then gets a trial so often, with what may be copied.
const SILENCE: f64 = 9.0;
const TRIAL_AFTER: f64 = 2.0;
/// A copy or a move is thought of after so many mean answers, or this share of the aim: later it would be
/// late.
const PATIENCE: f64 = 3.0;
const PATIENCE_OF_AIM: f64 = 0.45;
const COPY_LOAD: f64 = 0.4; // Copies of what merely hangs go out under this part of the load bound.
/// Further attempts earned by each request sent on, and the most saved up: a small part of the load always.
const RETRY_EARN: f64 = 0.1;
const RETRY_MOST: f64 = 20.0;
/// Share of the aim that the mean answer may take before new work is refused: at half about one in ten is
/// late.
const LOAD_OF_AIM: f64 = 0.3;
const SEEN_BY: f64 = 4.0; // Up to so many gateways, what each has out itself tells the load of servers.
const TIP_USED: f64 = 0.8; // Of the multiple that a cold server bears.
const OUTSIDE: f64 = 0.01; // Servers beyond this gateway's aperture are tried where those inside fail.
const LEAST_OUT: f64 = 2.0; // Out per server, over all gateways, that is never too many: its cores stay idle.
/// The classes that earn least for their work stop at this share of the bound, at up to half while answers
/// come well before LOAD_OF_AIM: on quiet days nobody need go first.
const LEAST_CLASS: f64 = 0.2;
/// Time constants, seconds: throughput, its peak; answer times (in answers, or in seconds where they are
/// few).
const RATE_TAU: f64 = 0.5;
const PEAK_TAU: f64 = 6.0;
const ANSWERS_AVERAGED: f64 = 30.0;
const LATE_TAU: f64 = 3.0;
/// A failure that came back at once weighs as this many requests held, fading over these seconds.
const FAULT_LOAD: f64 = 3.0;
const FAULT_TAU: f64 = 4.0;
const FAULT_VISITS: f64 = 2.0;
/// How much each opening of a connection counts in their mean; from this share refused on, a server that
/// never answered here is taken to refuse too. One of them is tried again each TRIAL_AFTER.
const DOOR_SHARE: f64 = 0.3;
const DOORS_SHUT: f64 = 0.5;
/// Load reports are averaged, each counting this much or by the seconds since the last; they fade so too
/// towards the fleet's mean, and weigh this much of a request held here.
const REPORT_SHARE: f64 = 0.03;
const REPORT_TAU: f64 = 5.0;
const REPORT_WEIGHT: f64 = 0.5;
/// Least time between probes of a server, and those earned by each request: all gateways probe as they work.
const PROBE_EVERY: f64 = 1.0;
const PROBE_EARN: f64 = 0.2;
const PROBES_BORNE: f64 = 8.0; // A second at each server, of all gateways together.
const SUBSCRIBE_AGAIN: f64 = 1.0; // Discovery is asked again so long after a call that failed.
const FORGET_AFTER: f64 = 30.0; // Idle ledgers are dropped: many customers come just once.
const STALL: f64 = 0.25; // A gap so long between events (the sweep comes every 0.05 s) is our own stall.
const EPS: f64 = 1e-6;

/// What this gateway knows of one customer's quota: the bucket as the totals on the counter show it.
#[derive(Default)]
struct Ledger {
    rate: f64,
    burst: f64,
    window: f64,
    spread: f64,
    level: f64, // Units left; the total that still passes is `known + level`.
    at: f64,
    known: f64, // Last total and when this life of the name was first seen; none: never seen.
    life: Option<f64>,
    carry: f64,  // Due with the next add: units granted but not added (+), added but refused (-).
    others: f64, // The others' units a second, and what was assumed of them since the last total.
    assumed: f64,
    spent: f64, // Granted here since the last total.
    answered: f64,
    calls: VecDeque<Call>,
    seen: f64, // Own tries of about a window.
    plan: usize,
    alone: f64, // Ceiling: what may be spent alone, and what may be spent on a confirmed total.
    pool: f64,
    ceiling: Option<(f64, f64)>,
    open: u32,
}

struct Call {
    request: RequestId,
    units: f64,
    add: f64,
    retry: bool,
    counted: bool,         // Are its own units in the add?
    decided: Option<bool>, // Decided before the answer: was it granted?
}

impl Ledger {
    fn new(plan: &Plan, spread: f64, counted: bool, now: f64, index: usize) -> Ledger {
        let window = (plan.burst / plan.rate.max(EPS)).clamp(0.1, 60.0); // a counter's longest
        let ceiling = (plan.ceiling_rate > 0.0)
            .then_some((plan.ceiling_rate, plan.ceiling_burst + plan.ceiling_slack * SLACK_USED));
        let (rate, burst) = (plan.rate, plan.burst);
        let mut l = Ledger { rate, burst, window, spread, ceiling, plan: index, ..Ledger::default() };
        (l.at, l.answered) = (now, now);
        // Without a total: most customers use less than half of their quota. The ceiling starts with
        // nothing: before this gateway's own restart its former self may have spent it all (rule 5).
        l.level = plan.burst / 2.0;
        // Where no total ever comes, the others are taken to use their even part of the rate.
        l.others = if counted { 0.0 } else { plan.rate * (spread - 1.0) / spread };
        l
    }

    fn refill(&mut self, now: f64) {
        let dt = (now - self.at).max(0.0);
        self.at = now;
        self.seen *= (-dt / self.window).exp();
        if dt >= self.window && self.spread > FEW {
            // The life is over and with it what was owed or taken back; the next total tells as to a
            // newcomer. Guards against customers seen rarely: debts of minutes, adds of nothing.
            (self.carry, self.life, self.level, self.assumed) = (0.0, None, self.burst, 0.0);
        }
        let full = (self.level + self.rate * dt - self.burst).max(0.0);
        self.level = (self.level + self.rate * dt).min(self.burst);
        if let Some((rate, depth)) = self.ceiling {
            let (pooled, n) = (self.pooled(), self.spread);
            self.alone = (self.alone + rate * (1.0 - pooled) / n * dt).min(depth * (1.0 - pooled) / n);
            if !self.rare() {
                self.pool = (self.pool + rate * pooled * dt).min(depth * pooled);
            }
        }
        // Units owed are refilled once the bucket overflows: telling them then would charge them twice. Until
        // then the others must hear of all of them: what a quota in full use owes is not refilled.
        self.carry -= full.min(self.carry.max(0.0));
    }

    /// Takes in a total. What was added beyond the own adds is the others' use since the last one.
    fn settle(&mut self, total: f64, add: f64, now: f64, pace: f64) {
        self.refill(now);
        let newcomer = self.life.is_none();
        // Totals only grow: a lower one, or one after the life's end, is of a fresh one; the level stays.
        let fresh = total + EPS * total.abs() + EPS < self.known + add
            || self.life.is_none_or(|since| now >= since + self.window);
        // What the others added between the last total and the end of the old life is never told: it stays
        // assumed, where totals are few. Guards against a part of a window passed twice at each edge.
        let end = self.life.map_or(self.answered, |since| (since + self.window).clamp(self.answered, now));
        let few = if fresh && !newcomer { (2.0 - 2.0 * pace).min(1.0) } else { 0.0 };
        let unseen = self.others * (end - self.answered) * few;
        self.level = (self.level + self.assumed).min(self.burst) - unseen;
        (self.assumed, self.spent) = (0.0, 0.0);
        if fresh {
            (self.known, self.life) = (0.0, Some(now));
            // Seen rarely: so much of a life; twice (an edge) and all alone parts fill it. Few split it, and
            // keep what is left less the others' unseen use: each new start would spend it once more.
            let half = self.ceiling.map_or(0.0, |(_, depth)| depth * self.pooled() / 2.0);
            let kept = self.pool - 2.0 * self.others * (end - self.answered);
            let (split, kept) = if self.spread > FEW { (1.0, 0.0) } else { (self.spread, kept) };
            self.pool = kept.clamp(if self.seen < RARE { half / split } else { 0.0 }, half);
            self.carry = self.carry.max(0.0);
        }
        let others = (total - self.known - add).max(0.0);
        self.known = total;
        self.pool -= others + add;
        self.level = if newcomer { self.burst } else { self.level };
        // The others' refused tries stand in the total until their next add: the level may owe that much.
        self.level = (self.level - others).max(-self.spread.min(self.burst));
        let dt = (now - self.answered).max(0.0);
        self.answered = now;
        let tau = (2.0 * self.window).max(1.0);
        if !newcomer && !fresh {
            self.others = (self.others * (-dt / tau).exp() + others / tau).min(self.rate);
        }
    }

    /// Decides without a total: the others are taken to go on as last seen, and to grant as this one does.
    fn assume(&mut self, now: f64) {
        let since = (now - self.answered).max(0.0);
        self.refill(now);
        let alike = if self.spread > FEW { 0.0 } else { ALIKE * (self.spread - 1.0) * self.spent };
        let due = (f64::max(self.others * since, alike) - self.assumed).clamp(0.0, self.level.max(0.0));
        (self.level, self.assumed) = (self.level - due, self.assumed + due);
    }

    /// Room in the quota and under the ceiling. Rule 5: each gateway alone spends its even part of the
    /// ceiling; the pooled part only on a total that came back, which holds what all the others added.
    fn has_room(&self, units: f64, confirmed: bool) -> bool {
        self.under_ceiling(units, confirmed) && (self.rate <= 0.0 || self.level + EPS >= units)
    }

    fn pooled(&self) -> f64 {
        if self.spread > FEW {
            POOLED_OF_MANY
        } else {
            POOLED
        }
    }

    fn rare(&self) -> bool {
        self.seen < RARE && self.spread > FEW
    }

    fn under_ceiling(&self, units: f64, confirmed: bool) -> bool {
        self.ceiling.is_none() || self.alone >= units || (confirmed && self.pool >= 0.0)
    }

    fn grant(&mut self, units: f64, confirmed: bool) {
        (self.level, self.spent) = (self.level - units, self.spent + units);
        if self.ceiling.is_some() && !(confirmed && self.pool >= 0.0) {
            self.alone -= units;
            // What is spent alone does not come out of the pool too.
            self.pool += if confirmed { units } else { 0.0 };
        }
    }
}

struct Attempt {
    server: ServerId,
    sent: f64,
    open: bool,
    harmless: bool, // Its end proves that it never ran.
}

#[derive(Default)]
struct Request {
    class: usize,
    customer: CustomerId,
    units: f64,
    end: f64,
    retry: bool,
    waiting: bool, // Waiting for the counter's total.
    done: bool,
    streaming: bool,
    attempts: Vec<Attempt>,
}

/// Whether this server takes connections from this gateway, by the last attempt at it.
#[derive(Default, PartialEq)]
enum Door {
    #[default]
    Untried,
    Open,
    Shut,
}

#[derive(Default)]
struct Server {
    zone: u16,
    cell: u16,
    ready: bool,
    weight: f64,
    rank: u64,
    part: f64, // Of it, that lies in this gateway's aperture.
    started: Option<f64>,
    out: BTreeMap<(RequestId, u16), (f64, usize)>, // Attempts out: (request, attempt) to (sent, class).
    heard: f64,
    slowness: f64, // Answer time relative to the fleet's for the same class.
    answers: f64,
    load: f64,
    told: f64,
    door: Door,
    faults: f64, // Failures that came back at once, fading.
    fault_at: f64,
    silent: bool,
    trial_at: f64,
    probed: f64,
    /// Sends within the cold budget's span, newest last, and the span's draw for what is left of one.
    sends: VecDeque<f64>,
    lot: f64,
    lot_at: f64,
}

#[derive(Clone, Copy)]
enum Alarm {
    Decide(RequestId),
    Patience(RequestId),
    End(RequestId),
    Sweep,
    Subscribe,
}

/// One gateway's decisions. Feed it events, carry out its actions.
pub struct Gateway {
    settings: Settings,
    rng: fastrand::Rng,
    ledgers: BTreeMap<CustomerId, Ledger>,
    requests: BTreeMap<RequestId, Request>,
    servers: BTreeMap<ServerId, Server>,
    means: Vec<f64>, // Mean answer time of each class.
    wait: f64,
    inside: Vec<[(f64, f64); 2]>, // Of each plan's first tries and of others: the share inside, of how many.
    flow: Flow,
}

#[derive(Default)]
struct Flow {
    rate: f64, // Aims answered a second (each answer counts its class's aim), the remembered peak, and when.
    peak: f64,
    at: f64,
    lateness: f64, // Mean answer time as a share of the aim, and when last told.
    late_at: f64,
    answers: f64,
    least: f64, // Least time of the counter's answers, forgotten over time, and when last told.
    counter_at: f64,
    short: bool,
    pace: f64, // Share of tries that ask the counter.
    retries: f64,
    refusing: f64, // Share of the openings that were refused, and when a refusing server is tried again.
    door_at: f64,
    lot: f64, // The draw for what is left of one in the load bound, and when drawn.
    lot_at: f64,
    probes: f64,
    alarms: BTreeMap<(Duration, u64), Alarm>,
    alarm_seq: u64,
    armed: Option<Duration>,
    clock: Duration,
    swept: f64, // The last event, and the last one after a gap.
    resumed: f64,
}

fn secs(d: Duration) -> f64 {
    d.as_secs_f64()
}

fn dur(s: f64) -> Duration {
    Duration::from_micros((s.clamp(0.0, 1e9) * 1e6).round() as u64)
}

impl Gateway {
    /// Checks the settings and starts with no memory.
    pub fn new(settings: Settings, seed: u64) -> Result<Gateway, SettingsError> {
        settings.check()?;
        let aim = settings.classes.iter().map(|c| secs(c.aim)).fold(f64::MAX, f64::min);
        let timeout = settings.counter.as_ref().map_or(0.0, |c| secs(c.timeout));
        // Until answers tell, a class's work is taken as an eighth of its aim.
        let means = settings.classes.iter().map(|c| secs(c.aim) / 8.0).collect();
        Ok(Gateway {
            rng: fastrand::Rng::with_seed(seed),
            ledgers: BTreeMap::new(),
            requests: BTreeMap::new(),
            servers: BTreeMap::new(),
            means,
            wait: (aim * WAIT_OF_AIM).min(timeout),
            inside: vec![INSIDE.map(|share| (share, GUESS_WEIGHS)); settings.plans.len()],
            // Not quick until answers say so: at the start all gateways would fill the servers at once.
            flow: Flow { lateness: LOAD_OF_AIM, pace: 1.0, retries: 1.0, probes: 1.0, ..Flow::default() },
            settings,
        })
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Duration, event: Event, out: &mut Vec<Action>) {
        self.flow.clock = self.flow.clock.max(now);
        let t = secs(self.flow.clock);
        // The sweep wakes us all the time: a gap is our own stall, and what waited through it proves nothing
        // of servers or counter. Guards against mass silence and a choked bound after a stall.
        if t > self.flow.swept + STALL && self.flow.alarm_seq > 0 {
            self.flow.resumed = t;
            self.servers.values_mut().for_each(|s| s.heard = t);
        }
        self.flow.swept = t;
        if self.flow.alarm_seq == 0 {
            (self.flow.late_at, self.flow.at) = (t, t);
            self.alarm(t, Alarm::Sweep);
            if self.settings.discovery == Discovery::Ask {
                out.push(Action::Subscribe);
            }
        }
        match event {
            Event::Request(r) => self.on_request(r, t, out),
            Event::Counted { name, result, elapsed } => self.on_counted(name, result, secs(elapsed), t, out),
            Event::AttemptEnded(end) => self.on_ended(end, t, out),
            Event::StreamStarted { request, attempt } => self.on_stream(request, attempt, out),
            Event::ClientGone(id) => self.close(id, out),
            Event::Servers(update) => self.on_servers(update, t),
            Event::ProbeEnded { server, outcome, load } => self.on_probed(server, outcome, load, t),
            Event::Timer(_) => self.flow.armed = None,
        }
        while let Some(entry) = self.flow.alarms.first_entry().filter(|e| e.key().0 <= self.flow.clock) {
            let alarm = entry.remove();
            self.on_alarm(alarm, t, out);
        }
        if let Some((&(due, _), _)) = self.flow.alarms.first_key_value() {
            if self.flow.armed.is_none_or(|a| due < a) {
                self.flow.armed = Some(due);
                out.push(Action::SetTimer { after: due - self.flow.clock, tag: TimerTag(0) });
            }
        }
    }

    fn alarm(&mut self, at: f64, alarm: Alarm) {
        self.flow.alarm_seq += 1;
        self.flow.alarms.insert((dur(at).max(self.flow.clock), self.flow.alarm_seq), alarm);
    }

    fn on_request(&mut self, r: NewRequest, t: f64, out: &mut Vec<Action>) {
        if self.requests.contains_key(&r.request) {
            return;
        }
        let (true, Some(_)) = (r.class < self.settings.classes.len(), self.settings.plans.get(r.plan)) else {
            return out.push(Action::Refuse { request: r.request, retry_in: None });
        };
        let class = &self.settings.classes[r.class];
        let units = if r.units.is_finite() { r.units.max(0.0) } else { 1.0 };
        // Answered two rounds before the client gives up. Where a late answer is worth nothing, the end is
        // the aim: what is still out then only takes room from requests that can make it.
        let mut end = t + secs(r.time_left) - 2.0 * secs(self.settings.tick);
        if class.late_worth <= 0.0 && class.aim_stretch <= 0.0 {
            end = end.min(t + secs(class.aim));
        }
        let (class, customer, end) = (r.class, r.customer, end.max(t));
        let request =
            Request { class, customer, units, end, retry: r.retry, waiting: true, ..Request::default() };
        self.requests.insert(r.request, request);
        self.alarm(end, Alarm::End(r.request));
        let plan = &self.settings.plans[r.plan];
        let spread = f64::from(r.spread.clamp(1, self.settings.gateways));
        let counted = self.settings.counter.is_some() && (plan.rate > 0.0 || plan.ceiling_rate > 0.0);
        let ledger =
            self.ledgers.entry(r.customer).or_insert_with(|| Ledger::new(plan, spread, counted, t, r.plan));
        ledger.spread = ledger.spread.max(spread);
        if plan.max_open > 0 && f64::from(ledger.open) >= (f64::from(plan.max_open) / ledger.spread).ceil() {
            return self.refuse(r.request, out);
        }
        self.flow.probes = (self.flow.probes + PROBE_EARN).min(RETRY_MOST);
        ledger.refill(t);
        ledger.seen += 1.0;
        let asked = self.rng.f64() < self.flow.pace;
        // A jam is not fed with tries that the ledger refuses anyway, unless others must hear what is owed,
        // nor with those of rare customers that cost nothing beyond the quota: they need no total to pass.
        let hopeless = ledger.level + ledger.assumed < 0.0 && ledger.carry < units;
        let free = plan.excess_cost <= 0.0 && ledger.ceiling.is_none() && ledger.rare();
        let called = counted && asked && !(self.flow.pace < 1.0 && (hopeless || free));
        if called {
            // A try that the ledger has no room for asks without adding: its units would stand in the total
            // until this gateway's next add, and take room from the customer's tries elsewhere.
            let counted = ledger.level + EPS >= units || ledger.rare();
            let due = ledger.carry + if counted { units } else { 0.0 };
            // A rare customer's try speaks for those that were not asked about.
            let speaks = if ledger.rare() { 1.0 / self.flow.pace.max(0.25) } else { 1.0 };
            let add = due.max(0.0) * speaks;
            ledger.carry = due.min(0.0);
            let call = Call { request: r.request, units, add, retry: r.retry, counted, decided: None };
            ledger.calls.push_back(call);
            let (name, lifetime) = (CountName(r.customer.0), dur(ledger.window));
            out.push(Action::Count { name, add, lifetime });
            return self.alarm(t + self.wait, Alarm::Decide(r.request));
        }
        self.decide_alone(r.request, true, t, out);
    }

    /// Decides without a total, by the ledger. `owed`: no add is out for it.
    fn decide_alone(&mut self, id: RequestId, owed: bool, t: f64, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id) else { return };
        let (customer, units, retry) = (r.customer, r.units, r.retry);
        let Some(ledger) = self.ledgers.get_mut(&customer) else { return };
        ledger.assume(t);
        let rare = ledger.rare() && self.settings.counter.is_some();
        // To pass is worth the chance of being inside, less the price where it is not. What costs nothing
        // beyond the quota is held by its ceiling and the load alone.
        let (cost, inside) = (self.settings.plans[ledger.plan].excess_cost, self.inside[ledger.plan]);
        let likely = ledger.spread <= FEW || inside[usize::from(retry)].0 * (1.0 + cost) > cost;
        let free = cost <= 0.0;
        let room = ledger.under_ceiling(units, false) && (free || likely && ledger.has_room(units, false));
        if let Some(call) = ledger.calls.iter_mut().find(|c| c.request == id) {
            call.decided = Some(room);
            ledger.carry += if room && !call.counted { units } else { 0.0 };
        } else if room && owed && !rare {
            ledger.carry = (ledger.carry + units).min(ledger.burst);
        }
        self.decided(id, room, false, t, out);
    }

    fn on_counted(&mut self, name: CountName, result: CountResult, took: f64, t: f64, out: &mut Vec<Action>) {
        let Some(ledger) = self.ledgers.get_mut(&CustomerId(name.0)) else { return };
        let Some(call) = ledger.calls.pop_front() else { return };
        let mut room = call.decided;
        match result {
            CountResult::Total(total) if total.is_finite() => {
                ledger.settle(total, call.add, t, self.flow.pace);
                room = room.or(Some(ledger.has_room(call.units, true)));
                let inside = ledger.rate <= 0.0 || ledger.level + EPS >= call.units;
                let (share, of) = &mut self.inside[ledger.plan][usize::from(call.retry)];
                *of = (*of + 1.0).min(TOTALS_KEPT);
                *share += (f64::from(u8::from(inside)) - *share) / *of;
            }
            CountResult::NotAdded => ledger.carry = (ledger.carry + call.add).min(ledger.burst),
            _ => {} // It may have been added: taken as added.
        }
        // A refused try leaves the count with the next add, which of a rare customer comes too late.
        if room == Some(false) && result != CountResult::Unknown && call.counted && !ledger.rare() {
            ledger.carry -= call.units;
        }
        if room == Some(true) && call.decided.is_none() && !call.counted {
            ledger.carry += call.units;
        }
        self.counter_heard(result, took, t, out);
        match (call.decided, room) {
            (None, Some(room)) => self.decided(call.request, room, true, t, out),
            (None, None) => self.decide_alone(call.request, false, t, out),
            _ => {}
        }
    }

    /// Guards against a counter that is slow, silent, refusing or short of calls: the share of tries that ask
    /// falls with each failure: a jam is not fed. It grows while answers take little more than the counter's
    /// own least time, however near to the wait that is. Harm: after a recovery too few ask for some seconds.
    /// A call lost within the wait was cut off with its connection, which tells nothing of the line's length.
    fn counter_heard(&mut self, result: CountResult, took: f64, t: f64, out: &mut Vec<Action>) {
        if t - took < self.flow.resumed || (result == CountResult::Unknown && took < self.wait) {
            return;
        }
        let took = if let CountResult::Total(_) = result { took } else { f64::MAX };
        let since = t - std::mem::replace(&mut self.flow.counter_at, t);
        self.flow.least = took.min(self.flow.least + self.wait * since / LEAST_TAU);
        let easy = self.flow.least + (self.wait - self.flow.least) / 3.0;
        let change = if took > self.wait { PACE_DOWN } else { PACE_UP.powi(i32::from(took < easy)) };
        self.flow.pace = (self.flow.pace * change).clamp(PACE_LEAST, 1.0);
        let short = self.flow.pace < if self.flow.short { 1.0 } else { 0.5 };
        if short != self.flow.short {
            self.flow.short = short;
            let what = if short { "short: fewer than half of the tries ask" } else { "asked by all tries" };
            out.push(Action::Log(format!("counter {what}")));
        }
    }

    fn decided(&mut self, id: RequestId, room: bool, confirmed: bool, t: f64, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| r.waiting) else { return };
        r.waiting = false;
        let (customer, units, class) = (r.customer, r.units, r.class);
        if r.done {
            // Ended while it waited: nothing was sent on, so its units go back.
            if let Some(l) = self.ledgers.get_mut(&customer).filter(|_| room) {
                l.carry -= units;
            }
            return self.forget(id);
        }
        let best = self.pick(id, t);
        // Drawn once for a few answers: drawn for each try, all gateways would fill up to the next one.
        if t >= self.flow.lot_at + PATIENCE * self.means[class] {
            (self.flow.lot, self.flow.lot_at) = (self.rng.f64(), t);
        }
        let overloaded = self.overloaded(class, self.flow.lot, t);
        let Some(ledger) = self.ledgers.get_mut(&customer).filter(|_| room) else {
            return self.refuse(id, out);
        };
        match best {
            Some(server) if !overloaded => {
                ledger.grant(units, confirmed);
                ledger.open += 1;
                self.flow.retries = (self.flow.retries + RETRY_EARN).min(RETRY_MOST);
                self.send(id, server, t, out);
            }
            _ => {
                ledger.carry -= units;
                self.refuse(id, out);
            }
        }
    }

    /// The bound on what is out, by Little's law: out over answered a second is the mean answer time, held to
    /// a share of the aims, lower while answers are slower. Classes that earn least for their work go first.
    fn overloaded(&self, class: usize, draw: f64, t: f64) -> bool {
        let eject = self.ejects();
        let live = || self.servers.values().filter(|s| s.ready && !(s.silent && eject));
        let out: usize = live().map(|s| s.out.len()).sum();
        let dt = t - self.flow.at;
        let rate = (self.flow.rate * (-dt / RATE_TAU).exp()).max(self.flow.peak * (-dt / PEAK_TAU).exp());
        let density = |(c, mean): (&Class, &f64)| c.worth / mean.max(EPS);
        let top = self.settings.classes.iter().zip(&self.means).map(density).fold(EPS, f64::max);
        let mine = density((&self.settings.classes[class], &self.means[class])) / top;
        // Old lateness fades: a gateway that is seldom asked would go on refusing its few.
        let lateness = self.flow.lateness * ((self.flow.late_at + 1.0 - t).min(0.0) / LATE_TAU).exp();
        let share = LOAD_OF_AIM * mine.max(LEAST_CLASS);
        let least = if self.flow.peak > 0.0 { LEAST_OUT } else { 1.5 * LEAST_OUT };
        let floor = least * live().count() as f64 / f64::from(self.settings.gateways);
        let ease = (share / lateness.max(EPS)).min(1.0);
        let bound = rate * secs(self.settings.classes[class].aim) * share * ease;
        // It swings by about its root: while answers are quick a few more do no harm, else a draw decides. Of
        // many gateways one's own swing tells nothing of the servers: refused for it, customers come again.
        let most = bound.max(floor);
        let quick = lateness < 0.7 * share;
        let root = most.sqrt();
        let wide = self.unseen() * (ease * root).min(most);
        let swing = if quick { 2.0 * root + 1.0 } else { wide.max(root.min(most / 4.0)) };
        out as f64 + draw > most + swing
    }

    /// The share of what is out at servers that this gateway does not see.
    fn unseen(&self) -> f64 {
        1.0 - (SEEN_BY / f64::from(self.settings.gateways)).min(1.0)
    }

    /// May this request go to that server, by the rules on repeats?
    fn allowed(&self, r: &Request, server: &Server, t: f64) -> bool {
        let limits = &self.settings.limits;
        let twice = !limits.duplicates && r.attempts.iter().any(|a| a.open);
        if twice || r.attempts.len() >= limits.max_attempts as usize {
            return false;
        }
        let Some(first) = r.attempts.iter().find(|a| !a.harmless) else { return true };
        let Effect::Keyed { group, .. } = self.settings.classes[r.class].effect else {
            return self.repeatable(r, 2.0, t);
        };
        let same = self.servers.get(&first.server).is_some_and(|s| match group {
            DedupGroup::All => true,
            DedupGroup::Zone => s.zone == server.zone,
            DedupGroup::Cell => s.cell == server.cell,
        });
        same && self.repeatable(r, 2.0, t)
    }

    /// May it run again, and would a repeat sent that many rounds from now still be dropped?
    fn repeatable(&self, r: &Request, rounds: f64, t: f64) -> bool {
        let first = r.attempts.iter().find(|a| !a.harmless).map_or(f64::MAX, |a| a.sent);
        match self.settings.classes[r.class].effect {
            Effect::Safe => true,
            Effect::Unsafe => false,
            Effect::Keyed { window, .. } => t + rounds * secs(self.settings.tick) < first + secs(window),
        }
    }

    /// When most servers look silent it is a jam or a shared cause: then nobody is ejected, and what is out
    /// at them and their time-outs count against the bound, or the jam would be fed without end.
    fn ejects(&self) -> bool {
        let silent = self.servers.values().filter(|s| s.ready && s.silent).count();
        2 * silent <= self.servers.values().filter(|s| s.ready).count()
    }

    /// The share of its capacity that a server surely has by its age.
    fn warmth(&self, s: &Server, t: f64) -> f64 {
        let g = &self.settings.guarantees;
        let age = s.started.map_or(f64::MAX, |at| (t - at).max(0.0));
        (g.cold_share + (1.0 - g.cold_share) * age / secs(g.warm_within).max(EPS)).min(1.0)
    }

    /// The server that promises most: least work out and told of, for its size, warmth and speed.
    fn pick(&mut self, id: RequestId, t: f64) -> Option<ServerId> {
        let r = self.requests.get(&id)?;
        let guarantees = &self.settings.guarantees;
        // Rule 4: within its span a cold server gets at most half the multiple of its part of what goes out
        // from here, by aperture and warmth; and, where most are cold, of what would fall to it were all
        // warm, which it can carry then. Nothing sent yet: as much as idle servers bear from all of us.
        let live = self.servers.values().filter(|s| s.ready && !s.silent);
        let reach = |s: &Server| s.part.max(OUTSIDE);
        let (mut full, mut warm, mut sent, mut servers) = (EPS, EPS, 0.0, 0.0);
        for s in live {
            let part = reach(s);
            (full, warm, servers) = (full + part, warm + part * self.warmth(s, t), servers + 1.0);
            sent += s.sends.len() as f64;
        }
        let answer = self.means[r.class].max(secs(self.settings.classes[r.class].aim) / 8.0);
        let idle = LEAST_OUT * servers * secs(guarantees.tip_after) / answer;
        let sent = f64::max(sent, idle / f64::from(self.settings.gateways));
        let multiple = guarantees.tip_multiple.max(1.0);
        let share = sent * (0.5 * multiple / warm).min(TIP_USED * multiple / full);
        let safe = self.settings.classes[r.class].effect == Effect::Safe;
        let may_try = safe && r.attempts.is_empty() && self.settings.limits.duplicates;
        let eject = self.ejects();
        let fault_tau = self.fault_tau();
        let unseen = self.unseen();
        let fading = |s: &Server| (s.load, ((s.told - t) / REPORT_TAU).exp());
        let told = self.servers.values().filter(|s| s.ready && s.told > 0.0).map(fading);
        let (sum, weights) = told.fold((0.0, EPS), |(a, b), (load, w)| (a + load * w, b + w));
        let usual = sum / weights;
        let mut best: Option<(bool, f64, ServerId)> = None;
        let mut trial = None;
        for (&server, s) in &self.servers {
            if !s.ready || !self.allowed(r, s, t) || r.attempts.iter().any(|a| a.server == server) {
                continue;
            }
            if s.silent && eject {
                trial = trial.or(Some(server).filter(|_| may_try && t >= s.trial_at));
                continue;
            }
            // A fraction is drawn: hundreds of ones push a cold server over.
            let warmth = self.warmth(s, t);
            let most = warmth * share * reach(s);
            if warmth < 1.0 && s.sends.len() as f64 + s.lot >= most {
                continue;
            }
            let faults = FAULT_LOAD * s.faults * (-(t - s.fault_at) / fault_tau).exp();
            let (load, weight) = fading(s);
            let load = usual + (load - usual) * weight;
            let work = 1.0 + s.out.len() as f64 + REPORT_WEIGHT * load + faults;
            let size = s.weight * warmth * reach(s);
            let cross = if s.zone == self.settings.zone { 1.0 } else { 1.02 };
            let score = work * s.slowness / size * cross * (1.0 + 0.02 * self.rng.f64());
            // Few gateways know nearly all that is out and go by it. Of many each sees next to nothing: all
            // would hold the same large servers best. The least of exponential draws falls to each by its
            // size; what little is known of one weighs twice.
            let draw = if unseen > 0.0 { -(1.0 - self.rng.f64()).ln() } else { 1.0 };
            let score = score * (work * s.slowness * draw.max(EPS)).powf(unseen);
            // Second choice, but once in a while the first, to learn whether it takes us again.
            let shut = match s.door {
                Door::Open => false,
                Door::Untried => self.flow.refusing > DOORS_SHUT,
                Door::Shut => true,
            };
            let shut = shut != (t >= self.flow.door_at && r.attempts.is_empty());
            if best.is_none_or(|(b, score_b, _)| (shut, score) < (b, score_b)) {
                best = Some((shut, score, server));
            }
        }
        trial.or(best.map(|(_, _, s)| s))
    }

    fn send(&mut self, id: RequestId, server: ServerId, t: f64, out: &mut Vec<Action>) {
        let (Some(r), Some(s)) = (self.requests.get_mut(&id), self.servers.get_mut(&server)) else { return };
        let class = r.class;
        let number = r.attempts.len() as u16;
        r.attempts.push(Attempt { server, sent: t, open: true, harmless: false });
        if s.out.is_empty() {
            s.heard = t;
        }
        s.out.insert((id, number), (t, r.class));
        if s.door != Door::Open {
            self.flow.door_at = t + TRIAL_AFTER;
        }
        s.sends.push_back(t);
        s.trial_at = t + TRIAL_AFTER;
        out.push(Action::Send { request: id, server, give_up_at: dur(r.end) });
        let latest = PATIENCE_OF_AIM * secs(self.settings.classes[class].aim);
        self.alarm(t + latest.min(PATIENCE * self.means[class]), Alarm::Patience(id));
    }

    fn on_ended(&mut self, e: AttemptEnd, t: f64, out: &mut Vec<Action>) {
        let harmless = matches!(e.outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot);
        let Some(r) = self.requests.get_mut(&e.request) else { return };
        let Some(a) = r.attempts.get_mut(usize::from(e.attempt)).filter(|a| a.open) else { return };
        let server = a.server;
        (a.open, a.harmless) = (false, harmless);
        let (class, customer, units) = (r.class, r.customer, r.units);
        self.learn(server, class, &e, t);
        self.on_load(server, e.load, t);
        if let Some(l) = self.ledgers.get_mut(&customer) {
            // Guessed units: the difference rides on the customer's next add.
            let more = e.true_units.filter(|u| u.is_finite()).map_or(0.0, |u| u.max(0.0) - units);
            (l.level, l.carry) = (l.level - more, l.carry + more);
        }
        if e.finished || e.outcome == Outcome::Ok {
            return self.close(e.request, out);
        }
        self.go_on(e.request, t, out);
        self.forget(e.request);
    }

    fn go_on(&mut self, id: RequestId, t: f64, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id).filter(|r| !r.done) else { return };
        if r.attempts.iter().any(|a| a.open) {
            return;
        }
        let harmless = r.attempts.last().is_some_and(|a| a.harmless);
        let in_time = t + self.means[r.class] < r.end;
        if in_time && self.flow.retries >= 1.0 {
            if let Some(server) = self.pick(id, t) {
                self.flow.retries -= if harmless { 0.5 } else { 1.0 };
                return self.send(id, server, t, out);
            }
        }
        self.refuse(id, out);
    }

    /// So long each server's sends are remembered: rule 4's span.
    fn span(&self) -> f64 {
        secs(self.settings.guarantees.tip_after).max(0.5)
    }

    /// A failure fades over some seconds, and not before this gateway would come by again a few times: where
    /// it comes by rarely, each failure would be forgotten by the next request there.
    fn fault_tau(&self) -> f64 {
        let ready = || self.servers.values().filter(|s| s.ready);
        let (servers, sends) =
            ready().fold((0.0, 0.0), |(n, sum), s| (n + s.part, sum + s.sends.len() as f64));
        (FAULT_VISITS * self.span() * servers / f64::max(sends, 1.0)).clamp(FAULT_TAU, FORGET_AFTER)
    }

    fn learn(&mut self, server: ServerId, class: usize, e: &AttemptEnd, t: f64) {
        let eject = self.ejects();
        // Most ends are answers, which weigh no fault: they need no walk over the servers.
        let fault_tau = if e.outcome == Outcome::Ok { FAULT_TAU } else { self.fault_tau() };
        let Some(s) = self.servers.get_mut(&server) else { return };
        let (outcome, took) = (e.outcome, secs(e.elapsed));
        s.out.remove(&(e.request, e.attempt));
        // Guards against servers that take no new connections, from all of us or from some, and against dead
        // ones still listed. Who comes by once in many seconds must remember until an attempt gets through.
        // Harm: after a short refusal by all, one server is taken back at a time, until trials succeed.
        let refused = outcome == Outcome::ConnectFailed;
        if refused || !matches!(outcome, Outcome::Reset | Outcome::Cancelled | Outcome::Moot) {
            if s.door == Door::Untried || (s.door == Door::Shut && !refused) {
                self.flow.refusing += (f64::from(u8::from(refused)) - self.flow.refusing) * DOOR_SHARE;
                // One that opens calls for the next trial at once.
                self.flow.door_at = if refused { self.flow.door_at } else { t };
            }
            s.door = if refused { Door::Shut } else { Door::Open };
        }
        if matches!(outcome, Outcome::Ok | Outcome::Error | Outcome::Full) {
            (s.heard, s.silent) = (t, false);
        }
        // Guards against servers that fail fast: they hold little and would draw everything. By time-outs,
        // with no answer since, against jammed, slow and hung ones, where one request waits at a time and is
        // never silence. Harm: a server with a few chance errors or long tasks gets less for some seconds.
        let lost = outcome == Outcome::Timeout && s.heard <= t - took && t - took >= self.flow.resumed;
        if lost || matches!(outcome, Outcome::Error | Outcome::Full | Outcome::ConnectFailed | Outcome::Reset)
        {
            (s.faults, s.fault_at) = (s.faults * ((s.fault_at - t) / fault_tau).exp() + 1.0, t);
        }
        let aim = secs(self.settings.classes[class].aim);
        let stalled = t - took < self.flow.resumed;
        if matches!(outcome, Outcome::Ok | Outcome::Timeout) && !(s.silent && eject) && !stalled {
            let dt = t - self.flow.late_at;
            let weight = (1.0 - (-dt / LATE_TAU).exp()).clamp(1.0 / ANSWERS_AVERAGED, 0.25);
            self.flow.late_at = t;
            self.flow.lateness += (took / aim - self.flow.lateness) * weight;
        }
        if outcome == Outcome::Ok {
            if !stalled {
                let (classes, mean) = (self.means.len() as f64, &mut self.means[class]);
                // The first answers weigh more: servers are judged by it, and would be by when they answered.
                *mean += (took - *mean) / (1.0 + self.flow.answers / classes).min(ANSWERS_AVERAGED);
                (*mean, self.flow.answers) = (mean.max(1e-3), self.flow.answers + 1.0);
                let ratio = (took / mean.max(EPS)).min(4.0);
                s.answers = (s.answers + 1.0).min(4.0 * ANSWERS_AVERAGED - 8.0);
                s.slowness = (s.slowness + (ratio - s.slowness) / (8.0 + s.answers)).clamp(0.5, 2.0);
            }
            let dt = t - self.flow.at;
            self.flow.rate = self.flow.rate * (-dt / RATE_TAU).exp() + 1.0 / RATE_TAU;
            self.flow.peak = (self.flow.peak * (-dt / PEAK_TAU).exp()).max(self.flow.rate);
            self.flow.at = t;
        }
    }

    fn on_load(&mut self, server: ServerId, load: Option<LoadReport>, t: f64) {
        let (Some(s), Some(load)) = (self.servers.get_mut(&server), load) else { return };
        let good = |v: Option<f64>| v.filter(|v| v.is_finite()).map(|v| v.max(0.0));
        let held = good(load.in_flight).or(good(load.queued)).unwrap_or(0.0);
        // Single reports are stale: gateways that follow them run from server to server together. Their mean
        // tells a server that is slow or short of cores for all of us. Where they come seldom each counts.
        let weight = (1.0 - ((s.told - t) / REPORT_TAU).exp()).max(REPORT_SHARE);
        s.told = t;
        s.load += (held - s.load) * weight;
    }

    fn on_probed(&mut self, server: ServerId, outcome: Outcome, load: Option<LoadReport>, t: f64) {
        self.on_load(server, load, t);
        if let Some(s) = self.servers.get_mut(&server).filter(|_| outcome == Outcome::Ok) {
            (s.heard, s.silent) = (t, false);
        }
    }

    fn on_stream(&mut self, id: RequestId, attempt: u16, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.done) else { return };
        r.streaming |= usize::from(attempt) < r.attempts.len();
        self.cancel_others(id, Some(attempt), out);
    }

    fn cancel_others(&mut self, id: RequestId, keep: Option<u16>, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(&id).filter(|_| self.settings.limits.cancel) else { return };
        for (n, a) in r.attempts.iter().enumerate() {
            if a.open && keep != Some(n as u16) {
                out.push(Action::Cancel { request: id, attempt: n as u16 });
            }
        }
    }

    /// The request is over for the client: nothing more goes out for it.
    fn close(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.done) else { return self.forget(id) };
        r.done = true;
        if let Some(l) = self.ledgers.get_mut(&r.customer).filter(|_| !r.attempts.is_empty()) {
            l.open = l.open.saturating_sub(1);
        }
        self.cancel_others(id, None, out);
        self.forget(id);
    }

    fn forget(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|r| r.done && !r.waiting && !r.attempts.iter().any(|a| a.open))
        {
            self.requests.remove(&id);
        }
    }

    /// Answers finally: refused where rule 2 lets us say so, else failed.
    fn refuse(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get_mut(&id).filter(|r| !r.done) else { return };
        let ran = r.attempts.iter().any(|a| !a.harmless);
        let effect = self.settings.classes[r.class].effect;
        let may = !ran || matches!(effect, Effect::Safe | Effect::Keyed { group: DedupGroup::All, .. });
        // Advice: the time in which one such request is refilled, or in which what is out here is answered:
        // without any, clients of a load refusal come back at once; longer, and their next try is late.
        let (limits, ledger) = (&self.settings.limits, self.ledgers.get(&r.customer));
        let refill = ledger.map_or(0.0, |l| (r.units - l.level).max(0.0) / l.rate.max(EPS));
        let retry_in =
            limits.retry_advice.then(|| dur(refill.max(self.means[r.class])).min(limits.max_retry_advice));
        out.push(if may { Action::Refuse { request: id, retry_in } } else { Action::Fail { request: id } });
        self.close(id, out);
    }

    fn on_alarm(&mut self, alarm: Alarm, t: f64, out: &mut Vec<Action>) {
        match alarm {
            Alarm::Decide(id) => {
                if self.requests.get(&id).is_some_and(|r| r.waiting && !r.done) {
                    self.decide_alone(id, false, t, out);
                }
            }
            Alarm::End(id) => match self.requests.get(&id).filter(|r| !r.done && !r.streaming) {
                Some(r) if r.attempts.is_empty() => self.refuse(id, out),
                Some(_) => {
                    out.push(Action::Fail { request: id });
                    self.close(id, out);
                }
                None => {}
            },
            Alarm::Patience(id) => self.lost_patience(id, t, out),
            Alarm::Sweep => self.sweep(t, out),
            Alarm::Subscribe => out.push(Action::Subscribe),
        }
    }

    /// Guards against silent servers and against single answers that hang: a second copy where the class
    /// and the budget allow; where copies are forbidden, a move away from a server that looks silent.
    fn lost_patience(&mut self, id: RequestId, t: f64, out: &mut Vec<Action>) {
        self.watch(t, out);
        let Some(r) = self.requests.get(&id).filter(|r| !r.done && !r.streaming) else { return };
        let Some(last) = r.attempts.last().filter(|a| a.open) else { return };
        let silent = self.ejects() && self.servers.get(&last.server).is_none_or(|s| s.silent || !s.ready);
        let class = r.class;
        if t + self.means[class] >= r.end {
            return;
        }
        let busy = self.flow.lateness > COPY_LOAD * LOAD_OF_AIM || self.overloaded(class, 1.0, t);
        let may = self.flow.retries >= 1.0 && (silent || !busy);
        let copy = self.settings.limits.duplicates;
        let alone = r.attempts.iter().filter(|a| a.open).count() < 2;
        let movable = silent && self.settings.limits.cancel && self.repeatable(r, 4.0, t);
        if may && copy && alone {
            if let Some(server) = self.pick(id, t) {
                self.flow.retries -= 1.0;
                return self.send(id, server, t, out);
            }
        } else if may && !copy && movable {
            return out.push(Action::Cancel { request: id, attempt: r.attempts.len() as u16 - 1 });
        }
        self.alarm(t + self.means[class], Alarm::Patience(id));
    }

    /// Marks servers silent: what is out there has waited for many mean answers together and none has come.
    fn watch(&mut self, t: f64, out: &mut Vec<Action>) {
        for (id, s) in self.servers.iter_mut().filter(|(_, s)| s.ready && !s.silent) {
            let wait = |(sent, class): &(f64, usize)| (t - sent.max(s.heard)) / self.means[*class].max(EPS);
            if s.out.values().map(wait).sum::<f64>() > SILENCE {
                (s.silent, s.trial_at) = (true, t + TRIAL_AFTER);
                out.push(Action::Log(format!("server {} silent", id.0)));
            }
        }
    }

    fn sweep(&mut self, t: f64, out: &mut Vec<Action>) {
        self.watch(t, out);
        let span = self.span();
        for s in self.servers.values_mut() {
            if t >= s.lot_at + span {
                (s.lot, s.lot_at) = (self.rng.f64(), t);
            }
            while s.sends.front().is_some_and(|at| *at < t - span) {
                s.sends.pop_front();
            }
        }
        let any = self.settings.reports_on_probe;
        let every = PROBE_EVERY.max(f64::from(self.settings.gateways) / PROBES_BORNE);
        let wanted = |s: &Server| s.ready && (s.silent || any) && t >= s.probed + every;
        while self.settings.limits.probes && self.flow.probes >= 1.0 {
            let oldest = self.servers.iter_mut().filter(|(_, s)| wanted(s));
            let Some((&id, s)) = oldest.min_by(|a, b| a.1.probed.total_cmp(&b.1.probed)) else { break };
            s.probed = t;
            self.flow.probes -= 1.0;
            out.push(Action::Probe { server: id });
        }
        self.servers.retain(|_, s| s.ready || !s.out.is_empty());
        self.ledgers.retain(|_, l| !l.calls.is_empty() || l.open > 0 || t < l.at + FORGET_AFTER);
        self.alarm(t + 0.05, Alarm::Sweep);
    }

    /// Rule 3 by construction: from the moment it is told, nothing new goes to a draining or gone server.
    fn on_servers(&mut self, update: ListUpdate, t: f64) {
        let (entries, full) = match update {
            ListUpdate::Changes(entries) => (entries, false),
            ListUpdate::Full(entries) => (entries, true),
            ListUpdate::Failed => return self.alarm(t + SUBSCRIBE_AGAIN, Alarm::Subscribe),
        };
        if full {
            self.servers.values_mut().for_each(|s| s.ready = false);
        }
        for e in entries {
            let started = e.started_at.map(secs);
            let lot = self.rng.f64();
            // Each gateway probes in an order of its own: else all would know, and take, the same few.
            let new = || Server { started, lot, probed: -lot, heard: t, slowness: 1.0, ..Server::default() };
            let s = self.servers.entry(e.server).or_insert_with(new);
            if s.started != started {
                (s.started, s.silent, s.slowness, s.heard) = (started, false, 1.0, t);
                s.door = Door::Untried;
            }
            (s.zone, s.cell, s.rank, s.ready) = (e.zone, e.cell, e.rank, e.state == ServerState::Ready);
            s.weight = if e.weight.is_finite() && e.weight > 0.0 { e.weight.max(0.05) } else { 1.0 };
        }
        let mut ring: Vec<_> = self.servers.values_mut().filter(|s| s.ready).collect();
        ring.sort_by_key(|s| s.rank);
        let sizes: Vec<f64> = ring.iter().map(|s| s.weight).collect();
        let parts = aperture::parts(self.settings.number, self.settings.gateways, &sizes);
        ring.iter_mut().zip(parts).for_each(|(s, part)| s.part = part);
    }
}
