//! Why the platform's settings are rejected.

/// Why the platform's settings cannot be decoded or used. The text names the field as the platform
/// writes it, such as `Classes[0].TargetMs`.
#[derive(Debug, thiserror::Error)]
pub enum PlatformConfigError {
    /// The text is not JSON.
    #[error(transparent)]
    Json(#[from] simd_json::Error),
    /// A field is missing, or is of another type.
    #[error(transparent)]
    Field(#[from] serde_path_to_error::Error<simd_json::Error>),
    /// A time in milliseconds is not finite, or not above 0.
    #[error("{field}: {value} is not a time")]
    InvalidDuration {
        /// The field.
        field: &'static str,
        /// Its value.
        value: f64,
    },
    /// A field has none of its expected values.
    #[error("{field}: unknown value '{value}', expected {expected}")]
    UnknownValue {
        /// The field.
        field: &'static str,
        /// Its value.
        value: String,
        /// The expected values.
        expected: &'static str,
    },
    /// The discovery mode is unknown.
    #[error("Discovery: unknown value '{value}'")]
    UnknownDiscovery {
        /// The value.
        value: String,
    },
}
