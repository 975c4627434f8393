//! The reasons for rejecting the platform's settings.

/// The reason why the platform's settings cannot be decoded or converted. The message contains the
/// path of the field with the platform's names, such as `Classes[0].TargetMs`.
#[derive(Debug, thiserror::Error)]
pub enum PlatformConfigError {
    /// The text is not valid JSON.
    #[error(transparent)]
    Json(#[from] simd_json::Error),
    /// A field is missing or has the wrong type.
    #[error(transparent)]
    Field(#[from] serde_path_to_error::Error<simd_json::Error>),
    /// A duration is not a finite number of milliseconds above 0.
    #[error("{field}: invalid duration {value}, expected a number of milliseconds above 0")]
    InvalidDuration {
        /// The path of the field.
        field: &'static str,
        /// The value of the field.
        value: f64,
    },
    /// The value of a field is not among the expected ones.
    #[error("{field}: unknown value '{value}', expected {expected}")]
    UnknownValue {
        /// The path of the field.
        field: &'static str,
        /// The value of the field.
        value: String,
        /// The expected values, as a list for the message.
        expected: &'static str,
    },
    /// The value of `Discovery` is unknown.
    #[error("Discovery: unknown value '{value}', expected 'automatic' or 'subscribe'")]
    UnknownDiscovery {
        /// The value of the field.
        value: String,
    },
}
