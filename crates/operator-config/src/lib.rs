//! The operator's configuration file, written in KDL (version 2), and the set-up of logging.
//!
//! [`OperatorFile`] is a parsed and checked file. [`OperatorFile::resolve`] returns the effective
//! [`OperatorSettings`], and [`OperatorFile::setting_rows`] returns each of them with its source
//! and description. [`ConfigErrors`] contains all errors of a file, with their positions and the
//! allowed values.
//!
//! ```
//! use roseyard_operator_config::{MachineLimits, OperatorFile};
//!
//! let text = "admission { places 400; reserve 0.25 }";
//! let file = OperatorFile::parse("roseyard.kdl", text).unwrap();
//! let machine = MachineLimits { platform_descriptors: 1024, system_descriptors: 20_000 };
//! let settings = file.resolve(&machine).unwrap();
//! assert_eq!(settings.policy.reserve, 100);
//! let errors = OperatorFile::parse("roseyard.kdl", "admission { resrve 0.25 }").unwrap_err();
//! assert_eq!(
//!     errors.lines()[0],
//!     "roseyard.kdl:1:13: 'admission' has no setting 'resrve'; did you mean 'reserve'?"
//! );
//! ```

mod error;
mod file;
mod given_settings;
pub mod log;
mod schema;
mod section_reader;
mod services;
mod setting_row;
mod settings;
mod suggestion;
mod value;
mod value_kind;
mod value_reader;
mod value_syntax;

pub use error::{ConfigError, ConfigErrors, OperatorFileError, Position};
pub use file::OperatorFile;
pub use services::Services;
pub use setting_row::SettingRow;
pub use settings::{
    MachineLimits, MembershipSettings, NamedAddress, OperatorSettings, SnapshotSettings,
};
