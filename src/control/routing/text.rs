//! The encoding of a document's text: as one piece, not byte by byte.

use std::fmt;
use std::sync::Arc;

use serde::de::{Error, Visitor};
use serde::{Deserializer, Serializer};

/// Encodes the text.
pub fn serialize<S: Serializer>(text: &Arc<[u8]>, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.serialize_bytes(text)
}

/// Decodes the text.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Arc<[u8]>, D::Error> {
    deserializer.deserialize_bytes(Text)
}

struct Text;

impl Visitor<'_> for Text {
    type Value = Arc<[u8]>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the bytes of a text")
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Arc<[u8]>, E> {
        Ok(bytes.into())
    }
}
