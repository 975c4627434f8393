//! Tokio runtimes for the parts of a measurement.

use std::io;
use tokio::runtime::{Builder, Runtime};

/// Builds a runtime with one worker thread of this name. Each part of a measurement, such as
/// clients or servers, has its own runtime, so that it does not delay the others.
pub fn single_thread_runtime(name: &str) -> io::Result<Runtime> {
    Builder::new_multi_thread()
        .worker_threads(1)
        .thread_name(name)
        .enable_all()
        .build()
}
