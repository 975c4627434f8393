//! The health of endpoints: detects those that are unresponsive, fail or refuse connections, and
//! decides when to try them again.

pub(crate) mod circuit_breaker;
pub(crate) mod health_check;
pub(crate) mod outlier;
