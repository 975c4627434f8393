//! The watch on discovery: one answer that stays open, a line for each change, an empty one every 2
//! s.

use super::core::Core;
use super::{Io, Party};
use crate::limits::Limits;
use crate::protocol::http::{self, Body, Head};
use crate::protocol::list::{self, ListSplitter};
use crate::transport::{Fill, Ready, Stream};
use std::net::SocketAddr;
use std::time::Duration;

/// The answer is not one that stays open.
const TURNED_AWAY: &str = "not a watch";

/// One call: an answer that stays open.
struct Call {
    stream: Stream,
    made: Duration,
    /// Counts the connections: news of one that is gone must not reach its successor.
    serial: u32,
    up: bool,
    /// How its answer is framed, once its head has come.
    body: Option<Body>,
    /// It has brought a line.
    spoke: bool,
    lists: ListSplitter,
    /// Since when a list has been on its way.
    list_begun: Option<Duration>,
}

/// The watch.
pub(super) struct Watch {
    address: SocketAddr,
    call: Option<Call>,
    /// A call before, where it has said nothing yet. Guards against a discovery that answers a
    /// little later than a call is waited for: each would be given up a moment before.
    elder: Option<Call>,
    serial: u32,
    due: Option<Duration>,
    /// Calls in a row that brought no line.
    failed: u32,
    /// The last call ended for what could not be read; the next such thing is passed over.
    garbled: bool,
    rng: fastrand::Rng,
    pub(super) told: bool,
}

impl Watch {
    pub(super) fn new(address: SocketAddr, seed: u64) -> Watch {
        Watch {
            address,
            call: None,
            elder: None,
            serial: 0,
            due: None,
            failed: 0,
            garbled: false,
            rng: fastrand::Rng::with_seed(seed),
            told: false,
        }
    }

    /// Is discovery there?
    pub(super) fn leads_to(&self, address: SocketAddr) -> bool {
        self.address == address
    }

    /// Discovery is at another address now.
    pub(super) fn move_to(&mut self, address: SocketAddr) {
        self.address = address;
        (self.failed, self.garbled, self.elder) = (0, false, None);
    }

    /// How long to wait before the next call: guards against many ingresses that keep an overbooked
    /// discovery, which turns calls away, overbooked by calling again at the same pace, and in
    /// step.
    fn back_off(&mut self, turned_away: bool, limits: &Limits) -> Duration {
        let most = if turned_away {
            limits.list_again_most
        } else {
            limits.list_again_broken
        };
        let longest = limits
            .list_again
            .saturating_mul(1 << self.failed.min(10))
            .min(most);
        self.failed += 1;
        longest.mul_f64(1.0 - self.rng.f64() / 2.0)
    }
}

impl Call {
    /// Reads on; whole lines go to `lines`. An error says why the call is of no more use.
    fn read(
        &mut self,
        ready: Ready,
        io: &Io,
        lines: &mut Vec<Vec<u8>>,
    ) -> Result<(), &'static str> {
        let limits = &io.limits;
        let stream = &mut self.stream;
        if !self.up {
            if !ready.writable {
                return Ok(());
            }
            stream.connected().map_err(|_| "cannot connect")?;
            self.up = true;
        }
        stream.flush().map_err(|_| "connection broke")?;
        if !ready.readable {
            return Ok(());
        }
        let filled = stream.fill(
            limits.list_bytes + limits.line_bytes,
            limits.chunk_bytes,
            ready.ended,
        );
        while self.body.is_none() {
            match http::head(stream.input(), limits).map_err(|e| e.0)? {
                // What comes before the answer is no answer.
                Some((head, used)) if (100..=199).contains(&head.status) => stream.take(used),
                Some((
                    Head {
                        status: 200,
                        body: body @ (Body::Chunked | Body::UntilEnd),
                        ..
                    },
                    used,
                )) => {
                    stream.take(used);
                    self.body = Some(body);
                }
                Some(_) => return Err(TURNED_AWAY),
                None => break,
            }
        }
        while let Some(body) = self.body.filter(|_| !stream.input().is_empty()) {
            let (part, used) = match body {
                Body::Chunked => match http::chunk(stream.input(), limits).map_err(|e| e.0)? {
                    Some(found) => found,
                    None => break,
                },
                _ => (stream.input(), stream.input().len()),
            };
            if part.is_empty() {
                return Err("watch ended");
            }
            self.lists.take(part, lines);
            self.spoke |= !lines.is_empty();
            if self.lists.held() > limits.list_bytes {
                return Err("line too long");
            }
            stream.take(used);
        }
        stream.trim(8 * limits.chunk_bytes);
        let begun = self.list_begun.filter(|_| lines.is_empty());
        self.list_begun = (self.on_its_way() > 0).then_some(begun.unwrap_or(io.now));
        match filled {
            Fill::Drained => Ok(()),
            Fill::Limited => Err("chunk too long"),
            Fill::Ended | Fill::Broken => Err("connection ended"),
        }
    }
}

impl Call {
    /// Bytes of a list whose rest is still to come.
    fn on_its_way(&self) -> usize {
        let framed = if self.body.is_some() {
            self.stream.input().len()
        } else {
            0
        };
        self.lists.held() + framed
    }

    /// Until when the rest of a list that is on its way is waited for: guards against a long list
    /// that is called for over and over, as it takes longer than an answer may. Each part must
    /// follow the last one soon.
    fn list_due(&self, now: Duration, limits: &Limits) -> Option<Duration> {
        let earned = Duration::from_secs_f64(self.on_its_way() as f64 / limits.list_rate);
        Some((now + limits.list_first).min(self.list_begun? + limits.list_first + earned))
    }
}

impl Core {
    /// Opens the watch after the version held.
    pub(super) fn watch_open(&mut self, io: &mut Io) {
        let address = self.watch.address;
        let connected = self.connect(&address, io);
        let watch = &mut self.watch;
        watch.serial = watch.serial.wrapping_add(1);
        let serial = watch.serial;
        let opened = connected.and_then(|mut stream| {
            io.poller.add(stream.fd(), Party::Watch(serial).token())?;
            http::put_watch(
                stream.output(),
                &address.to_string(),
                self.engine.endpoint_registry().revision(),
            );
            Ok(Call {
                stream,
                made: io.now,
                serial,
                up: false,
                body: None,
                spoke: false,
                lists: ListSplitter::default(),
                list_begun: None,
            })
        });
        watch.call = opened.ok();
        let wait = if watch.call.is_some() {
            io.limits.list_first
        } else {
            watch.back_off(false, &io.limits)
        };
        io.deadlines
            .set(&mut watch.due, Some(io.now + wait), Party::Watch(0));
    }

    /// The watch is ready.
    pub fn on_watch(&mut self, serial: u32, ready: Ready, io: &mut Io) {
        let mut lines = Vec::new();
        let elder = self
            .watch
            .elder
            .as_ref()
            .is_some_and(|c| c.serial == serial);
        let call = if elder {
            &mut self.watch.elder
        } else {
            &mut self.watch.call
        };
        let Some(open) = call.as_mut().filter(|c| c.serial == serial) else {
            return;
        };
        let mut state = open.read(ready, io, &mut lines);
        if elder {
            if lines.is_empty() {
                // Its end says nothing of the call that is out.
                self.watch.elder = self.watch.elder.take().filter(|_| state.is_ok());
                return;
            }
            self.watch.call = self.watch.elder.take();
        } else if !lines.is_empty() {
            self.watch.elder = None;
        } else if let Some(at) = open.list_due(io.now, &io.limits) {
            let at = self.watch.due.max(Some(at));
            io.deadlines.set(&mut self.watch.due, at, Party::Watch(0));
        }
        for mut line in lines {
            io.deadlines.set(
                &mut self.watch.due,
                Some(io.now + io.limits.list_silence),
                Party::Watch(0),
            );
            self.watch.failed = 0;
            if line.trim_ascii().is_empty() {
                self.watch.told = true;
                continue;
            }
            match list::decode(&mut line) {
                Ok(list) => {
                    (self.watch.told, self.watch.garbled) = (true, false);
                    self.apply_endpoint_list(&list, io);
                }
                // Guards against a drain that is lost with the line that told it: it is asked for
                // again, and only what cannot be read then either is passed over.
                Err(e) => {
                    tracing::warn!(event = "discovery.line_unreadable", error = %e, "endpoint list unreadable");
                    self.watch.garbled = !self.watch.garbled;
                    if self.watch.garbled {
                        state = Err("unreadable line");
                        break;
                    }
                }
            }
        }
        if let Err(why) = state {
            tracing::warn!(
                event = "discovery.watch_closed",
                reason = why,
                "discovery watch closed, reconnecting"
            );
            self.watch.call = None;
            let again = io.now + self.watch.back_off(why == TURNED_AWAY, &io.limits);
            io.deadlines
                .set(&mut self.watch.due, Some(again), Party::Watch(0));
        }
    }

    /// Reads what has come on the watch before it is left.
    pub(super) fn watch_read(&mut self, io: &mut Io) {
        let ready = Ready {
            token: 0,
            readable: true,
            writable: false,
            ended: true,
        };
        for serial in
            [self.watch.elder.as_ref(), self.watch.call.as_ref()].map(|c| c.map(|c| c.serial))
        {
            serial
                .into_iter()
                .for_each(|serial| self.on_watch(serial, ready, io));
        }
    }

    /// Nothing came for too long, or it is time to call again.
    pub fn on_watch_due(&mut self, io: &mut Io) {
        self.watch.due = None;
        if let Some(call) = self.watch.call.take() {
            // One that has spoken and fallen silent is broken; one that has yet to speak may be
            // late.
            let late = |c: &Call| !c.spoke && io.now < c.made + io.limits.list_elder;
            let elder = self.watch.elder.take().filter(late);
            self.watch.elder = elder.or(Some(call).filter(late));
            let rev = self.engine.endpoint_registry().revision();
            tracing::warn!(
                event = "discovery.watch_timed_out",
                revision = rev,
                "discovery watch timed out, reconnecting"
            );
        }
        self.watch_open(io);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// Calls that `ingresses` make in ten seconds to a discovery that turns each away at once, and
    /// how many of them fall into the fullest 20 ms of the last second.
    fn calls(ingresses: u32) -> (usize, usize) {
        let limits = Limits::of_test(ingresses);
        let mut at = Vec::new();
        for n in 0..ingresses {
            let mut watch = Watch::new("127.0.0.1:1".parse().unwrap(), u64::from(n));
            let mut now = Duration::ZERO;
            while now < Duration::from_secs(10) {
                at.push(now.as_millis() / 20);
                let wait = watch.back_off(true, &limits);
                assert!(
                    wait <= Duration::from_secs(3),
                    "no longer than what is told may stay unheard"
                );
                now += wait;
            }
        }
        let fullest = (450..500)
            .map(|slot| at.iter().filter(|a| **a == slot).count())
            .max();
        (at.len(), fullest.unwrap())
    }

    #[test]
    fn a_watch_that_dies_silently_is_heard_again_before_its_news_must_have_been_acted_on() {
        for (ingresses, grace) in [
            (2, 0),
            (2, 1000),
            (2, 2000),
            (300, 0),
            (300, 1000),
            (300, 2000),
        ] {
            let limits = Limits::of_test_with(ingresses, grace);
            let mut watch = Watch::new("127.0.0.1:1".parse().unwrap(), 5);
            let longest = (0..1000)
                .map(|n| watch.back_off(n % 2 == 0, &limits))
                .max()
                .unwrap();
            let heard = limits.list_silence + limits.list_first + longest;
            let told = Duration::from_millis(6000 + u64::from(grace));
            let margin = Duration::from_millis(200);
            assert!(
                heard + margin <= told,
                "{ingresses} ingresses, grace {grace} ms: heard after {heard:?}"
            );
        }
    }

    #[test]
    fn a_hundred_ingresses_do_not_keep_an_overbooked_discovery_overbooked() {
        let (all, fullest) = calls(100);
        assert!(
            all <= 900,
            "{all} calls in 10 s; at a fixed 200 ms it is 5,000"
        );
        assert!(fullest <= 10, "{fullest} calls within 20 ms: out of step");
        let (few, _) = calls(2);
        assert!(
            few >= 100,
            "{few} calls of two ingresses, which hear soon after a short loss"
        );
    }
}
