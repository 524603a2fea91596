//! An entry's work in flight at one endpoint, by exchange.

use super::EndpointKey;
use crate::link::message::AgentRequest;
use crate::model::call::prompt_tokens;
use crate::model::{CallId, Capacity, Load, Timestamp};

/// The progress of an exchange's work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// Decode capacity is requested or reserved.
    Reserved,
    /// KV cache is being transferred to the decode endpoint.
    Importing,
    /// Tokens are being decoded, or a prefill or a service call runs.
    Running,
}

/// The work of one exchange.
#[derive(Debug, Clone, Copy)]
pub(super) struct Flight {
    pub(super) endpoint: EndpointKey,
    pub(super) call: CallId,
    pub(super) load: Load,
    pub(super) stage: Stage,
    /// When the current stage began.
    pub(super) since: Timestamp,
    pub(super) last_reply: Timestamp,
    /// The maximum length of the answer in tokens; zero before decoding is requested.
    pub(super) until: u32,
}

impl Flight {
    /// Returns the work that a request starts; `None` if it uses no capacity of the endpoint.
    pub(super) fn new(
        now: Timestamp,
        endpoint: EndpointKey,
        capacity: Capacity,
        request: &AgentRequest,
    ) -> Option<Flight> {
        let (call, tokens, stage, prompt) = match request {
            AgentRequest::Reserve { request, tokens, .. } => {
                (request.call, *tokens, Stage::Reserved, 0)
            }
            AgentRequest::Prefill { request, prompt, prefix, .. } => {
                let tokens = prompt_tokens(prompt) + prefix.len() as u32;
                (request.call, tokens, Stage::Running, tokens)
            }
            AgentRequest::Call { request, .. } => (request.call, 1, Stage::Running, 0),
            _ => return None,
        };
        let pieces = tokens.div_ceil(capacity.piece_tokens.max(1)).max(1);
        let load = Load { slots: 1, pieces, prompt_tokens: prompt, ..Load::default() };
        Some(Flight { endpoint, call, load, stage, since: now, last_reply: now, until: 0 })
    }
}
