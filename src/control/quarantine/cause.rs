//! What a call holds that may crash the endpoint that runs it.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Identifies a content, or a part of a prompt, within one service, independent of the sender and
/// the call's id.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fingerprint([u8; 16]);

impl Fingerprint {
    /// Returns the fingerprint of a content for a service.
    ///
    /// ```
    /// use dotterelpin::control::quarantine::Fingerprint;
    ///
    /// let one = Fingerprint::of("cs-summary", b"apples");
    /// assert_eq!(one, Fingerprint::of("cs-summary", b"apples"));
    /// assert_ne!(one, Fingerprint::of("cs-summary", b"pears"));
    /// ```
    pub fn of(service: &str, content: &[u8]) -> Fingerprint {
        Fingerprint::of_pieces(service, &[content])
    }

    /// Returns the fingerprint of a content that consists of several pieces, such as a head and a
    /// body.
    pub fn of_pieces(service: &str, pieces: &[&[u8]]) -> Fingerprint {
        let mut hasher = Sha256::new();
        hasher.update((service.len() as u64).to_le_bytes());
        hasher.update(service);
        for piece in pieces {
            hasher.update((piece.len() as u64).to_le_bytes());
            hasher.update(piece);
        }
        let digest = hasher.finalize();
        Fingerprint(digest.first_chunk().copied().unwrap_or_default())
    }

    /// Returns its bytes, such as for the fingerprint of something that contains what it stands for.
    ///
    /// ```
    /// use dotterelpin::control::quarantine::Fingerprint;
    ///
    /// assert_eq!(Fingerprint::of("cs-summary", b"apples").as_bytes().len(), 16);
    /// ```
    pub fn as_bytes(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|b| write!(f, "{b:02x}"))
    }
}

/// A possible cause of a crash: what a call has in common with other calls that crash endpoints.
///
/// ```
/// use dotterelpin::control::quarantine::{Cause, Fingerprint};
///
/// let cause = Cause::Part(Fingerprint::of("cs-summary", b"5c1e07a2"));
/// assert!(cause.to_string().starts_with("part-"));
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Cause {
    /// A part of a prompt, which calls with otherwise different contents share.
    Part(Fingerprint),
    /// The complete content of a call, which its caller may send again.
    Content(Fingerprint),
}

impl fmt::Display for Cause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Cause::Part(print) => write!(f, "part-{print}"),
            Cause::Content(print) => write!(f, "content-{print}"),
        }
    }
}
