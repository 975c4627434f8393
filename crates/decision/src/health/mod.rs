//! Health of endpoints: which ones are unresponsive or failing, and when they are tried again.

pub(crate) mod circuit_breaker;
pub(crate) mod health_check;
pub(crate) mod outlier;
