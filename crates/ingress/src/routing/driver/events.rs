//! Dispatches readiness events and deadlines to the components.

use super::Driver;
use crate::routing::io::Io;
use crate::transport::{Key, Ready};

impl Driver {
    /// Called when a connection to an endpoint is readable or writable.
    pub fn on_upstream_ready(&mut self, key: Key, ready: Ready, io: &mut Io) {
        self.upstream.on_ready(key, ready, &mut self.engine, io);
    }

    /// Called when the deadline of a connection to an endpoint expires.
    pub fn on_upstream_deadline(&mut self, key: Key, io: &mut Io) {
        self.upstream.on_deadline(key, &mut self.engine, io);
    }

    /// Called when the connection to the counter with this index is readable or writable. `serial`
    /// is that of the stream for which the event was registered.
    pub fn on_counter_ready(&mut self, index: u16, serial: u32, ready: Ready, io: &mut Io) {
        if let Some(counter) = &mut self.counter {
            counter.on_ready(index, serial, ready, io, &mut self.engine);
        }
    }

    /// Called when the deadline of the connection to the counter with this index expires.
    pub fn on_counter_deadline(&mut self, index: u16, io: &mut Io) {
        if let Some(counter) = &mut self.counter {
            counter.on_deadline(index, io, &mut self.engine);
        }
    }

    /// Called when the watch call with this serial number is readable or writable.
    pub fn on_discovery_ready(&mut self, serial: u32, ready: Ready, io: &mut Io) {
        let Driver {
            watch,
            list_applier,
            engine,
            upstream,
            ..
        } = self;
        watch.on_ready(serial, ready, io, &mut |list, io| {
            list_applier.apply(list, engine, upstream, io);
        });
    }

    /// Called when the deadline of the watch on discovery expires; opens the next call.
    pub fn on_discovery_deadline(&mut self, io: &mut Io) {
        let revision = self.list_revision();
        self.watch.on_deadline(revision, io.now);
        self.open_watch(io);
    }

    /// Called when the timer of the request engine expires.
    pub fn on_engine_deadline(&mut self) {
        self.engine_deadline = None;
        self.engine.on_due();
    }
}
