//! Who may connect, how many, and who goes first when there is no room: decisions without I/O and
//! clock.
//!
//! [`Gate`] is a state machine: it is told of connections ([`Event`]) and says what is to be done
//! ([`Action`]). [`Budget`] owns the descriptors of the process. [`Snapshot`] is what is known of
//! clients, for a restart. Times are counted from any fixed moment; all of a gate's must be counted
//! from the same one.
//!
//! ```
//! use roseyard_admission::{Action, ConnectionId, Event, Gate, Policy, Reason};
//! use std::time::Duration;
//!
//! let at = |ms| Duration::from_secs(60) + Duration::from_millis(ms);
//! let mut gate = Gate::new(Policy { places: 2, ..Policy::of(2) }, 0x5eed, at(0));
//! let mut out = Vec::new();
//! for n in 0..3 {
//!     let peer = "192.0.2.1".parse().unwrap();
//!     gate.handle(at(50 * n), Event::Connected { conn: ConnectionId(n), peer }, &mut out);
//! }
//! assert!(matches!(out[..], [Action::Close { conn: ConnectionId(0), why: Reason::Room }, ..]));
//! ```

mod address;
mod budget;
mod event;
mod gate;
mod history;
mod lists;
mod policy;
mod rate;
mod reputation;
mod snapshot;

pub use address::{Listed, Prefixes};
pub use budget::{Budget, Share, TooFew, Use, USES};
pub use event::{Action, ConnectionId, Event, Reason, REASONS};
pub use gate::{CacheSizes, Gate};
pub use policy::Policy;
pub use rate::{Gcra, Rate};
pub use reputation::Reputation;
pub use snapshot::{Remembered, Snapshot, Unusable, MOST_BYTES};
