//! The operator's own file: KDL (version 2) with every setting checked, its effective values with
//! their sources, and the set-up of logs.
//!
//! ```
//! use roseyard_operator_config::{File, MachineLimits};
//!
//! let file = File::parse("roseyard.kdl", "admission { places 400; reserve 0.25 }").unwrap();
//! let machine = MachineLimits { sockets: 1024, allowed: 20_000 };
//! let settings = file.effective(&machine).unwrap();
//! assert_eq!(settings.policy.reserve, 100);
//! let wrong = File::parse("roseyard.kdl", "admission { resrve 0.25 }").unwrap_err();
//! assert_eq!(
//!     wrong.lines()[0],
//!     "roseyard.kdl:1:13: 'admission' has no setting 'resrve'; did you mean 'reserve'?"
//! );
//! ```

mod error;
mod explain;
mod file;
pub mod log;
mod schema;
mod services;
mod settings;
mod value;

pub use error::{ConfigError, ConfigErrors};
pub use explain::SettingRow;
pub use file::File;
pub use services::Services;
pub use settings::{MachineLimits, Membership, OperatorSettings, SnapshotSettings};
