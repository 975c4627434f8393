//! Every size, count and time of the ingress, filled once at start and handed down.

use roseyard_admission::DescriptorUse;
use roseyard_operator_config::OperatorSettings;
use roseyard_platform_config::PlatformSettings;
use std::time::Duration;

/// What discovery has to tell counts as told after this, heard or not.
const TOLD: Duration = Duration::from_secs(6);
/// Of that and the grace together, so much is for the call that brings the news and for the sends
/// it stops.
const TOLD_MARGIN: Duration = Duration::from_millis(250);

/// Sizes in bytes, counts and times.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest value on a socket.
    pub value_bytes: usize,
    /// Longest header line, status line or chunk head.
    pub line_bytes: usize,
    /// Most words of a command.
    pub words: usize,
    /// Deepest nesting of an answer.
    pub depth: usize,
    /// Longest line of the list of servers: a part of the memory, as it is held more than once
    /// while it is taken in.
    pub list_bytes: usize,
    /// A list that is on its way and comes slower than this, bytes a second, is not waited for.
    pub list_rate: f64,
    /// A connection's read buffer at first, and what it shrinks back to.
    pub chunk_bytes: usize,
    /// Answers that a client may leave unread before its requests are.
    pub unread_bytes: usize,
    /// Of a client whose commands wait, as many as may, so many bytes more are read: its end stands
    /// behind them.
    pub ahead_bytes: usize,
    /// What clients' connections hold together, parts of commands and unread answers; over it the
    /// one that holds most is dropped.
    pub client_bytes: usize,
    /// Commands of one client taken in a round: the others have their turn before the next.
    pub round_commands: usize,
    /// Connections accepted in a round.
    pub round_accepts: usize,
    /// Bytes of one client thrown away in a round, and in all before it is cut off.
    pub round_discard: usize,
    /// In all.
    pub discard: usize,
    /// Most units of a request.
    pub units: f64,
    /// Are a request's units only a guess, which the answer puts right?
    pub post_paid: bool,
    /// Bytes of all requests held.
    pub held_bytes: usize,
    /// Requests held.
    pub requests: usize,
    /// Requests of one client connection that wait for answers.
    pub pipelined: usize,
    /// Connections to the counter.
    pub counters: usize,
    /// Bytes of answers read at once from a counter connection.
    pub counter_bytes: usize,
    /// Calls on one counter connection that wait for answers.
    pub counter_calls: usize,
    /// Advice to clients whose requests cannot be held.
    pub busy_again: Duration,
    /// Readiness events taken in at once.
    pub batch: usize,
    /// The listener's queue.
    pub backlog: i32,
    /// A connection must be up by then.
    pub connect: Duration,
    /// An idle connection to a server is dropped after this.
    pub link_idle: Duration,
    /// A connection to a server rests so long after an answer: longer than what a server sends
    /// right behind it is on its way.
    pub link_rest: Duration,
    /// Further bytes of a server's answer must follow its last ones within this.
    pub answer_part: Duration,
    /// A probe must be answered by then.
    pub probe: Duration,
    /// A call to the counter has failed after this, or after the settings' time-out where that is
    /// longer.
    pub counter_call: Duration,
    /// The rest of a counter's answer must follow its first bytes within this.
    pub counter_part: Duration,
    /// An idle connection to the counter is dropped after this.
    pub counter_idle: Duration,
    /// A counter connection that owes answers and gives none for this long is dropped.
    pub counter_silence: Duration,
    /// A counter connection that failed is tried again after this.
    pub counter_again: Duration,
    /// Discovery is taken as silent after this: its line is due every 2 s.
    pub list_silence: Duration,
    /// And after this on a new call, which it answers at once: what it has to tell when it is back
    /// counts as told then, heard or not, and the grace runs.
    pub list_first: Duration,
    /// A call that has said nothing may still be answered for so long, beside those that follow it.
    pub list_elder: Duration,
    /// Discovery is called again after this, ...
    pub list_again: Duration,
    /// ... twice as long after each call that failed again, up to this, less up to half of it at
    /// random, ...
    pub list_again_most: Duration,
    /// ... where the call was turned away: an overbooked discovery is not to be kept so. After one
    /// that broke, up to this: an agent may be back, and the grace runs.
    pub list_again_broken: Duration,
    /// An address that another process still listens on is waited for so long, ...
    pub address: Duration,
    /// ... and tried again after this.
    pub address_again: Duration,
    /// `PING` is answered by then even if discovery says nothing.
    pub ready: Duration,
    /// Accepting is tried again after this when descriptors ran out.
    pub accept_again: Duration,
    /// A client that takes in no byte of its answers for this long is dropped.
    pub client_stall: Duration,
    /// A command must be whole this long after its first byte.
    pub command_part: Duration,
    /// New connections are accepted for this long after SIGTERM.
    pub drain_accept: Duration,
    /// And one that has asked nothing yet is waited for this long after that.
    pub drain_newcomer: Duration,
    /// A connection whose sending we ended is closed after this at the latest.
    pub linger: Duration,
    /// And after this once the process is to end.
    pub last_linger: Duration,
    /// Every request has its final answer this long after accepting has ended: SIGKILL may come 0.1
    /// s later.
    pub drain: Duration,
    /// What admission did is told this often at most.
    pub report: Duration,
}

impl Limits {
    /// The limits under the operator's settings, so much memory, and the platform's settings.
    pub fn new(
        operator: &OperatorSettings,
        memory_mb: usize,
        options: &PlatformSettings,
    ) -> Limits {
        let ms = Duration::from_millis;
        let memory = memory_mb.max(32) << 20;
        let longest = options.max_deadline();
        let (list_again, list_silence) = (ms(200), ms(3000));
        // Guards against sends to what an agent that is back has told drained: heard within half of
        // the grace.
        let soon = if options.is_push_discovery() {
            options.drain_grace() / 2
        } else {
            ms(1000)
        };
        let list_first = soon.clamp(list_again, ms(1000));
        // Guards against sends to what counts as told drained: a watch that dies silently, a new
        // call that is silent and the longest wait after calls that fail end in time, whatever the
        // settings' grace.
        let told = TOLD + options.drain_grace();
        let told = told.saturating_sub(TOLD_MARGIN + list_silence + list_first);
        // All ingresses together call some forty times a second, where there is time for that.
        let list_again_most =
            ms(30 * u64::from(options.ingress_count())).clamp(list_again, told.min(ms(3000)));
        Limits {
            value_bytes: 64 << 10,
            line_bytes: 8 << 10,
            words: 32,
            depth: 4,
            list_bytes: (memory / 12).max(4 << 20),
            list_rate: 8.0 * 1024.0,
            chunk_bytes: 2 << 10,
            unread_bytes: 256 << 10,
            ahead_bytes: 512 << 10,
            client_bytes: memory / 8,
            round_commands: 64,
            round_accepts: 64,
            round_discard: 1 << 20,
            discard: 128 << 20,
            // An amount on the counter is at most 1e9.
            units: options.max_request_units().unwrap_or(1e9),
            post_paid: options.has_estimated_units(),
            held_bytes: memory / 4,
            requests: options.max_open_requests().unwrap_or(20_000),
            pipelined: 1024,
            counters: operator.descriptor_limits_of(DescriptorUse::Counter).max,
            counter_bytes: 4 << 20,
            counter_calls: 4096,
            busy_again: ms(500),
            batch: 256,
            backlog: 1024,
            connect: options.connect_timeout().unwrap_or(ms(250)),
            link_idle: options
                .idle_connection_timeout()
                .unwrap_or(ms(10_000))
                .mul_f64(0.8),
            link_rest: ms(20),
            answer_part: ms(250),
            probe: ms(250),
            counter_call: ms(250),
            counter_part: ms(25),
            counter_idle: ms(4000),
            counter_silence: ms(1000),
            counter_again: ms(100),
            list_silence,
            list_first,
            list_again,
            // Where nothing has changed, its first line may be the empty one, which is due after 2
            // s.
            list_elder: ms(2500),
            list_again_most,
            list_again_broken: if options.is_push_discovery() {
                list_first
            } else {
                list_again_most
            },
            address: ms(3000),
            address_again: ms(20),
            ready: ms(1000),
            accept_again: ms(20),
            client_stall: ms(10_000),
            command_part: ms(2200),
            drain_accept: ms(600),
            drain_newcomer: ms(200),
            linger: ms(3000),
            last_linger: ms(500),
            drain: longest.min(ms(3000)),
            report: ms(5000),
        }
    }
}

#[cfg(test)]
impl Limits {
    /// Those of an ordinary machine under the tests' settings, in a tier of so many ingresses.
    pub(crate) fn of_test(ingresses: u32) -> Limits {
        Limits::of_test_with(ingresses, 2000)
    }

    /// The same under a grace of so many milliseconds for sends to drained servers.
    pub(crate) fn of_test_with(ingresses: u32, grace: u32) -> Limits {
        let settings = include_str!("../tests/settings.json");
        let settings = settings.replace("\"Balancers\":1,", &format!("\"Balancers\":{ingresses},"));
        let settings = settings.replace(
            "\"StopSendingWithinMs\":2000.0",
            &format!("\"StopSendingWithinMs\":{grace}.0"),
        );
        let operator = OperatorSettings::new(&roseyard_operator_config::MachineLimits {
            platform_descriptors: 1024,
            system_descriptors: 1024,
        });
        Limits::new(
            &operator,
            192,
            &PlatformSettings::parse(settings.as_bytes()).unwrap(),
        )
    }
}
