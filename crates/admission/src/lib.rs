//! Who may connect, how many, and who goes first when there is no room: decisions without I/O and
//! clock.
//!
//! [`AdmissionController`] is a state machine: it is told of connections ([`Event`]) and says what
//! is to be done ([`Action`]). [`DescriptorBudget`] owns the descriptors of the process.
//! [`Snapshot`] is what is known of clients, for a restart. Times are counted from any fixed
//! moment; all of a gate's must be counted from the same one.
//!
//! ```
//! use roseyard_admission::{Action, ConnectionId, Event, AdmissionController, AdmissionPolicy, RejectionReason};
//! use std::time::Duration;
//!
//! let at = |ms| Duration::from_secs(60) + Duration::from_millis(ms);
//! let mut controller = AdmissionController::new(AdmissionPolicy { capacity: 2, ..AdmissionPolicy::of(2) }, 0x5eed, at(0));
//! let mut out = Vec::new();
//! for n in 0..3 {
//!     let peer = "192.0.2.1".parse().unwrap();
//!     controller.handle(at(50 * n), Event::Connected { conn: ConnectionId(n), peer }, &mut out);
//! }
//! assert!(matches!(out[..], [Action::Close { conn: ConnectionId(0), why: RejectionReason::IdleCapacity }, ..]));
//! ```

mod address;
mod budget;
mod controller;
mod event;
mod history;
mod lists;
mod policy;
mod rate;
mod reputation;
mod snapshot;

pub use address::{AddressList, Prefixes};
pub use budget::{
    DescriptorBudget, DescriptorShare, DescriptorUse, InsufficientDescriptors, DESCRIPTOR_USES,
};
pub use controller::{AdmissionController, CacheSizes};
pub use event::{Action, ConnectionId, Event, RejectionReason, REJECTION_REASONS};
pub use policy::AdmissionPolicy;
pub use rate::{Gcra, Rate};
pub use reputation::Reputation;
pub use snapshot::{ClientRecord, Snapshot, SnapshotError, MOST_BYTES};
