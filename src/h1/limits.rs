//! The limits on callers' requests, and how a request that exceeds them is refused.

use super::reader::ReadError;
use crate::model::Timestamp;
use crate::routes::CallerLimits;

/// The retry time, in seconds, for callers whose requests newer limits may allow.
const RETRY_AFTER: &str = "0.5";

/// The limits that a driver applies to the connections of callers.
#[derive(Debug, Clone, Copy)]
pub struct AppliedLimits {
    /// The limits.
    pub values: CallerLimits,
    /// Until when they are confirmed to be the newest.
    pub confirmed_until: Timestamp,
}

/// The refusal of a request that can't be read.
#[derive(Debug)]
pub struct ReadRefusal {
    /// The status.
    pub status: u16,
    /// The text for the caller.
    pub text: String,
    /// Further header fields.
    pub fields: Vec<(&'static str, String)>,
}

impl AppliedLimits {
    /// Returns the refusal of a request that can't be read. One that exceeds limits that are no
    /// longer confirmed is refused as not run, since newer limits may allow it.
    pub fn refusal(&self, now: Timestamp, error: &ReadError) -> ReadRefusal {
        let limits = &self.values;
        let (status, bytes) = match error {
            ReadError::HeadTooLong => (431, limits.head_bytes),
            ReadError::BodyTooLong => (413, limits.body_bytes),
            _ => return ReadRefusal { status: 400, text: error.to_string(), fields: Vec::new() },
        };
        if now < self.confirmed_until {
            let text = format!("{error}: at most {bytes} bytes");
            return ReadRefusal { status, text, fields: Vec::new() };
        }
        let text = format!("not run: {error}, by limits that may be out of date");
        ReadRefusal { status: 503, text, fields: vec![("Retry-After", RETRY_AFTER.into())] }
    }
}
