//! The section `services`, whose lines may repeat. [`reader`] parses each of its [`lines`]
//! separately, [`build_directory`] checks them against each other and builds the directory of the
//! [`section`], and [`errors`] collects the errors.

mod build_directory;
mod endpoint_selector;
mod errors;
mod limits;
mod lines;
mod reader;
mod section;

pub(crate) use limits::SECTION;
pub(crate) use reader::Reader;
pub use section::Services;
