//! Load reports of engines, as gateways exchange them by way of control members.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::model::{BootId, EndpointKind};
use crate::registry::view::hash;

/// How many bits of a hash a tag has: collisions among some thousand engines are negligible, and a
/// tag takes seven bytes in a message.
const TAG_BITS: u32 = 48;
/// The maximum number of engines of which a gateway requests reports.
pub const MAX_WANTED: usize = 1_024;

/// Identifies a start of an engine in fewer bytes than its name and boot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct EngineTag(pub u64);

impl EngineTag {
    /// Returns the tag of a start of an engine.
    ///
    /// ```
    /// use dotterelpin::link::message::EngineTag;
    /// use dotterelpin::model::BootId;
    ///
    /// let tag = EngineTag::of("decode-1", BootId(1));
    /// assert_eq!(tag, EngineTag::of("decode-1", BootId(1)));
    /// assert_ne!(tag, EngineTag::of("decode-1", BootId(2)));
    /// ```
    pub fn of(name: &str, boot: BootId) -> EngineTag {
        EngineTag(hash(format!("{name}/{}", boot.0).as_bytes()) >> (u64::BITS - TAG_BITS))
    }

    /// Returns the first bits of the tag, by which a gateway names the engines that it uses.
    pub fn prefix(self) -> u16 {
        (self.0 >> (TAG_BITS - u16::BITS)) as u16
    }

    /// Returns the lowest and the highest tag with a prefix.
    ///
    /// ```
    /// use dotterelpin::link::message::EngineTag;
    /// use dotterelpin::model::BootId;
    ///
    /// let tag = EngineTag::of("decode-1", BootId(1));
    /// let (first, last) = EngineTag::range(tag.prefix());
    /// assert!(first <= tag && tag <= last);
    /// ```
    pub fn range(prefix: u16) -> (EngineTag, EngineTag) {
        let shift = TAG_BITS - u16::BITS;
        let first = u64::from(prefix) << shift;
        (EngineTag(first), EngineTag(first | ((1 << shift) - 1)))
    }
}

/// The load of an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct EngineLoad {
    /// Its present stage, if its report named one.
    pub kind: Option<EndpointKind>,
    /// The number of running requests.
    pub running: u32,
    /// The number of waiting requests.
    pub waiting: u32,
    /// Tokens of KV cache that can't be evicted.
    pub used: u32,
}

/// The load of an engine with its age when the message was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct AgedLoad {
    /// The start of the engine.
    pub tag: EngineTag,
    /// The age in milliseconds.
    pub age: u32,
    /// The load.
    pub load: EngineLoad,
}

/// Returns an age as it is sent.
pub fn age_millis(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(u32::MAX)
}

/// A report that a gateway has fetched from an engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FetchedReport {
    /// The rank of the gateway among those that may poll the engine; the highest one polls it.
    pub weight: u16,
    /// The reported load.
    pub report: AgedLoad,
}

/// The reports that a gateway sends to a control member, and those that it requests.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ReportsSent {
    /// The reports that it has fetched since its last heartbeat to this member.
    pub fetched: Vec<FetchedReport>,
    /// The reports that it requests, if it doesn't request them from another member.
    pub wanted: Option<ReportsWanted>,
}

/// The reports that a gateway requests.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ReportsWanted {
    /// The version of the member's reports that the gateway has.
    pub seen: u64,
    /// The prefixes of the tags of the engines that it uses, in order.
    pub prefixes: Vec<u16>,
}

/// The reports of other gateways that a control member passes on.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ReportsHeard {
    /// The version of the member's reports that the receiver has after applying them.
    pub seen: u64,
    /// The loads that changed noticeably.
    pub changed: Vec<AgedLoad>,
    /// The engines that have reported the same load again, with the age in milliseconds.
    pub same: Vec<(EngineTag, u32)>,
}
