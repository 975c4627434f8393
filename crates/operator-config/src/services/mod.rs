//! The section `services`, whose lines may repeat. [`reader`] reads each of its [`lines`] on its
//! own, [`build_directory`] checks them against one another and makes the directory of the
//! [`section`], and [`errors`] collects what is wrong.

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
