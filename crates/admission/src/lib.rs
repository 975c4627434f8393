//! Admission control for client connections: decides which connections are accepted, and which idle
//! connection is evicted when the capacity is exhausted.
//!
//! [`AdmissionController`] is a state machine that performs no I/O and reads no clock: the caller
//! reports each [`Event`] with the current time and performs the returned [`Action`]s.
//! [`AdmissionPolicy`] holds its limits. [`DescriptorBudget`] divides the file descriptors of the
//! process among their uses. [`Snapshot`] preserves client reputations across restarts.
//!
//! A time is a [`Duration`](std::time::Duration) since an arbitrary epoch, which must be the same
//! for all calls to one controller.
//!
//! ```
//! use roseyard_admission::{
//!     Action, AdmissionController, AdmissionPolicy, ConnectionId, Event, RejectionReason,
//! };
//! use std::time::Duration;
//!
//! let at = |ms| Duration::from_secs(60) + Duration::from_millis(ms);
//! let policy = AdmissionPolicy { capacity: 2, ..AdmissionPolicy::with_capacity(2) };
//! let mut controller = AdmissionController::new(policy, 0x5eed, at(0));
//! let mut actions = Vec::new();
//! for n in 0..3 {
//!     let connected = Event::Connected {
//!         connection: ConnectionId(n),
//!         peer_address: "192.0.2.1".parse().unwrap(),
//!     };
//!     controller.handle(at(50 * n), connected, &mut actions);
//! }
//! let closed = Action::Close {
//!     connection: ConnectionId(0),
//!     reason: RejectionReason::IdleCap,
//! };
//! assert_eq!(actions[0], closed);
//! ```

mod address;
mod controller;
mod decaying_score;
mod descriptor_budget;
mod event;
mod gcra;
mod history_cache;
mod linked_lists;
mod policy;
mod reputation;
mod snapshot;

pub use address::{AddressList, PrefixLengths};
pub use controller::{AdmissionController, CacheSizes, RejectionCounts};
pub use descriptor_budget::{
    DescriptorBudget, DescriptorLimits, DescriptorUse, InsufficientDescriptors, DESCRIPTOR_USES,
};
pub use event::{Action, ConnectionId, Event, RejectionReason, REJECTION_REASONS};
pub use gcra::{Gcra, Rate};
pub use policy::AdmissionPolicy;
pub use reputation::Reputation;
pub use snapshot::{ClientRecord, Snapshot, SnapshotError, StoredSnapshot, MAX_SNAPSHOT_BYTES};
