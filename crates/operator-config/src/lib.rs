//! The operator's own file: KDL (version 2) with every setting checked, its effective values with
//! their sources, and the set-up of logs.
//!
//! ```
//! use roseyard_operator_config::{File, Machine};
//!
//! let file = File::parse("roseyard.kdl", "admission { places 400; reserve 0.25 }").unwrap();
//! let machine = Machine { sockets: 1024, allowed: 20_000 };
//! let settings = file.effective(&machine).unwrap();
//! assert_eq!(settings.policy.reserve, 100);
//! let wrong = File::parse("roseyard.kdl", "admission { resrve 0.25 }").unwrap_err();
//! assert_eq!(
//!     wrong.lines()[0],
//!     "roseyard.kdl:1:13: 'admission' has no setting 'resrve'; did you mean 'reserve'?"
//! );
//! ```

mod effective;
mod explain;
mod file;
pub mod log;
mod mistake;
mod schema;
mod services;
mod value;

pub use effective::{Effective, Machine, Membership, Standing};
pub use explain::Row;
pub use file::File;
pub use mistake::{Mistake, Mistakes};
pub use services::Services;
