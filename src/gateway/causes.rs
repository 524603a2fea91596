//! What a call holds that may crash its endpoint.
//!
//! A caller may send a content again under a route that leads to another service by now, or with
//! another query. So a content is a cause in several forms, from the general to the specific: those that
//! are sound are cleared by calls that go on, and the most specific one that is left is blamed.

use super::call::Call;
use crate::control::quarantine::{Cause, Fingerprint};

/// Returns the possible causes of a crash that a call brings with it, the most specific one last.
pub(super) fn causes(call: &Call) -> Vec<Cause> {
    let mut causes = part_causes(call);
    causes.extend(contents(call).map(Cause::Content));
    causes
}

/// Returns the parts of its prompt among the possible causes that a call brings with it.
pub(super) fn part_causes(call: &Call) -> Vec<Cause> {
    let part = |id: &str| Cause::Part(Fingerprint::of(&call.service, id.as_bytes()));
    call.info.parts.iter().map(|id| part(id)).collect()
}

/// Returns the names of causes for logs.
pub(super) fn names(causes: &[Cause]) -> String {
    let names: Vec<String> = causes.iter().map(Cause::to_string).collect();
    names.join(",")
}

/// Returns the fingerprints of what a call asks for, which are the same when its caller sends it again:
/// without its query, for any service, and for its service.
fn contents(call: &Call) -> impl Iterator<Item = Fingerprint> {
    let head = &call.request.head;
    let has_query = head.path().len() < head.target.len();
    let body = Fingerprint::of("", &call.request.body);
    let without_query = has_query.then(|| content(call, "", head.path(), &body));
    let whole = ["", &*call.service].map(|service| content(call, service, &head.target, &body));
    without_query.into_iter().chain(whole)
}

/// Returns the fingerprint of a call's content with a target; an empty service stands for all.
fn content(call: &Call, service: &str, target: &str, body: &Fingerprint) -> Fingerprint {
    let head = &call.request.head;
    let host = head.fields.text("host").unwrap_or_default();
    let model = call.info.work.as_ref().map_or("", |work| &work.model);
    let parts = call.info.parts.join(",");
    let pieces: [&[u8]; 6] = [
        host.as_bytes(),
        head.method.as_bytes(),
        target.as_bytes(),
        model.as_bytes(),
        parts.as_bytes(),
        body.as_bytes(),
    ];
    Fingerprint::of_pieces(service, &pieces)
}
