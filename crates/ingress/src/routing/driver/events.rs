//! Readiness events and deadlines, handed to the component that they are for.

use super::Driver;
use crate::routing::io::Io;
use crate::transport::{Key, Ready};

impl Driver {
    /// A connection to an endpoint is ready.
    pub fn on_upstream_ready(&mut self, key: Key, ready: Ready, io: &mut Io) {
        self.upstream.on_ready(key, ready, &mut self.engine, io);
    }

    /// The deadline of a connection to an endpoint has come.
    pub fn on_upstream_due(&mut self, key: Key, io: &mut Io) {
        self.upstream.on_due(key, &mut self.engine, io);
    }

    /// A connection to the counter is ready.
    pub fn on_counter_ready(&mut self, index: u16, serial: u32, ready: Ready, io: &mut Io) {
        if let Some(counter) = &mut self.counter {
            counter.on_ready(index, serial, ready, io, &mut self.engine);
        }
    }

    /// The deadline of a connection to the counter has come.
    pub fn on_counter_due(&mut self, index: u16, io: &mut Io) {
        if let Some(counter) = &mut self.counter {
            counter.on_due(index, io, &mut self.engine);
        }
    }

    /// A call of the watch on discovery is ready.
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

    /// The deadline of the watch on discovery has come.
    pub fn on_discovery_due(&mut self, io: &mut Io) {
        let revision = self.list_revision();
        self.watch.on_due(revision, io.now);
        self.open_watch(io);
    }

    /// The engine's timer has come due.
    pub fn on_engine_due(&mut self) {
        self.engine_due = None;
        self.engine.on_due();
    }
}
