//! The filter `check`: turns a raw HTTP request into a checked call or a refusal.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use eyre::{WrapErr, ensure, eyre};
use serde::Deserialize;
use sha2::{Digest, Sha256};
use subtle::ConstantTimeEq;

use crate::control::config::{Config, Setting};
use crate::model::{Body, Call, CallKind, Class, Refusal, RefusalReason, Timestamp};

/// The maximum length of an idempotency key in bytes.
const MAX_KEY_BYTES: usize = 256;
/// The maximum number of tokens that a call may request.
const MAX_TOKENS: u32 = 16_384;
/// The path of the older form of model calls, with a `prompt` in place of `messages`.
const COMPLETIONS: &str = "/v1/completions";
/// The paths of model calls.
const MODEL_PATHS: [&str; 2] = [COMPLETIONS, "/v1/chat/completions"];
/// The methods that plain services may be called with.
const SERVICE_METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];
/// The maximum number of tokens if the caller sets none.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// An unchecked HTTP request of a caller.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RawCall {
    /// The HTTP method as received.
    pub method: Box<str>,
    /// The path, including the query.
    pub path: Box<str>,
    /// Header values by lower-case name.
    pub headers: BTreeMap<Box<str>, Box<str>>,
    /// The content in full.
    pub content: Vec<u8>,
}

type Hash = [u8; 32];

impl RawCall {
    /// Returns whether an earlier call with the same idempotency key may have run.
    pub fn may_have_run_before(&self) -> bool {
        !is_idempotent(&self.method) && self.headers.contains_key("idempotency-key")
    }
}

/// Returns whether a call with this HTTP method may run more than once.
pub fn is_idempotent(method: &str) -> bool {
    matches!(method, "GET" | "HEAD" | "OPTIONS")
}

/// Tenants by the SHA-256 hashes of their credentials.
#[derive(Debug, Clone, Default)]
pub struct Tenants {
    /// Keyed by the first bytes of the hash; the full hash is compared in constant time.
    by_prefix: BTreeMap<[u8; 8], Vec<(Hash, Box<str>)>>,
}

impl Tenants {
    /// Loads tenants from a file with lines of the form `NAME SHA256HEX`.
    pub fn load(path: &Path) -> eyre::Result<Tenants> {
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("read tenants from {}", path.display()))?;
        text.parse().wrap_err_with(|| format!("parse tenants in {}", path.display()))
    }

    /// Returns the tenant with the given credential; `None` if the credential is unknown.
    ///
    /// ```
    /// use dotterelpin::entry::check::{Tenants, credential_hash};
    ///
    /// let line = format!("tabulka {}", credential_hash("secret"));
    /// let tenants: Tenants = line.parse().unwrap();
    /// assert_eq!(tenants.find("secret"), Some("tabulka"));
    /// assert_eq!(tenants.find("guess"), None);
    /// ```
    pub fn find(&self, credential: &str) -> Option<&str> {
        let hash: Hash = Sha256::digest(credential).into();
        let known = self.by_prefix.get(&prefix(&hash))?;
        known.iter().find(|(h, _)| bool::from(h.ct_eq(&hash))).map(|(_, t)| &**t)
    }
}

impl std::str::FromStr for Tenants {
    type Err = eyre::Report;

    fn from_str(text: &str) -> eyre::Result<Tenants> {
        let mut by_prefix: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for (index, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let (name, hex) = line
                .split_once(' ')
                .ok_or_else(|| eyre!("line {}: expected \"NAME SHA256HEX\"", index + 1))?;
            let hash = parse_hash(hex.trim()).wrap_err_with(|| format!("line {}", index + 1))?;
            by_prefix.entry(prefix(&hash)).or_default().push((hash, name.into()));
        }
        Ok(Tenants { by_prefix })
    }
}

fn prefix(hash: &Hash) -> [u8; 8] {
    hash.first_chunk().copied().unwrap_or_default()
}

fn parse_hash(hex: &str) -> eyre::Result<Hash> {
    ensure!(hex.len() == 64 && hex.is_ascii(), "expected a hash of 64 hexadecimal digits");
    let mut hash = [0; 32];
    for (i, byte) in hash.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&hex[2 * i..2 * i + 2], 16).wrap_err("parse hash")?;
    }
    Ok(hash)
}

/// Returns the hash of a credential as it is written in the tenants file.
pub fn credential_hash(credential: &str) -> String {
    Sha256::digest(credential).iter().map(|b| format!("{b:02x}")).collect()
}

/// The body of `/v1/completions` and `/v1/chat/completions`.
#[derive(Debug, Deserialize)]
struct ModelBody {
    model: Box<str>,
    prompt: Option<Box<str>>,
    messages: Option<Vec<Message>>,
    max_tokens: Option<u32>,
    #[serde(default)]
    stream: bool,
}

#[derive(Debug, Deserialize)]
struct Message {
    role: Box<str>,
    content: Box<str>,
}

/// Validates a raw call and returns the checked call, or the refusal to be sent to the caller.
pub fn check(
    now: Timestamp,
    raw: RawCall,
    config: &Config,
    tenants: &Tenants,
) -> Result<Call, Refusal> {
    let header = |name: &str| raw.headers.get(name).map(|v| &**v);
    let credential = header("authorization").and_then(|v| v.strip_prefix("Bearer "));
    let tenant = credential.and_then(|c| tenants.find(c)).ok_or_else(|| {
        refuse(RefusalReason::Unauthorized, "the credential is missing or unknown")
    })?;
    let key = header("idempotency-key");
    if key.is_some_and(|k| k.is_empty() || k.len() > MAX_KEY_BYTES) {
        return Err(bad_call("idempotency-key has no text or over 256 bytes"));
    }
    let (pool, kind, repeatable) = if raw.path.starts_with("/v1/") {
        let (pool, kind) = check_model(&raw)?;
        (pool, kind, true)
    } else {
        let (pool, body) = check_service(&raw)?;
        let repeatable = is_idempotent(&body.method);
        (pool, CallKind::Service(body), repeatable)
    };
    let default_class = if repeatable && matches!(kind, CallKind::Model { .. }) {
        Class::Batch
    } else {
        Class::Interactive
    };
    let class = match header("x-dotterelpin-class") {
        Some(text) => text.parse().map_err(|e| bad_call(&format!("x-dotterelpin-class: {e}")))?,
        None => default_class,
    };
    let deadline_ms = match header("x-dotterelpin-deadline-ms") {
        Some(text) => {
            text.parse().ok().filter(|ms| (1..=86_400_000).contains(ms)).ok_or_else(|| {
                bad_call("x-dotterelpin-deadline-ms is no number from 1 to 86400000")
            })?
        }
        None => config.value(Setting::CallDeadline, tenant, &pool, class),
    };
    Ok(Call {
        tenant: tenant.into(),
        pool,
        class,
        deadline: now + Duration::from_millis(deadline_ms),
        key: key.map(Into::into),
        repeatable,
        kind,
    })
}

fn check_model(raw: &RawCall) -> Result<(Box<str>, CallKind), Refusal> {
    if !MODEL_PATHS.contains(&&*raw.path) {
        return Err(unknown_path(raw));
    }
    if &*raw.method != "POST" {
        return Err(bad_method(raw, &["POST"]));
    }
    let body: ModelBody =
        serde_json::from_slice(&raw.content).map_err(|e| bad_call(&format!("body: {e}")))?;
    let prompt = match (&*raw.path, body.prompt, body.messages) {
        (COMPLETIONS, Some(prompt), _) => prompt,
        (COMPLETIONS, None, _) => return Err(bad_call("body: \"prompt\" is missing")),
        (_, _, Some(messages)) => join(&messages),
        (_, _, None) => return Err(bad_call("body: \"messages\" is missing")),
    };
    if body.model.is_empty() {
        return Err(bad_call("body: \"model\" is empty"));
    }
    let max_tokens = body.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    if !(1..=MAX_TOKENS).contains(&max_tokens) {
        return Err(bad_call(&format!("max_tokens: {max_tokens} is outside 1 to {MAX_TOKENS}")));
    }
    Ok((body.model, CallKind::Model { prompt, max_tokens, stream: body.stream }))
}

fn join(messages: &[Message]) -> Box<str> {
    let lines: Vec<_> = messages.iter().map(|m| format!("{}: {}", m.role, m.content)).collect();
    lines.join("\n").into()
}

fn check_service(raw: &RawCall) -> Result<(Box<str>, Body), Refusal> {
    let rest = raw.path.strip_prefix("/services/").ok_or_else(|| unknown_path(raw))?;
    if !SERVICE_METHODS.contains(&&*raw.method) {
        return Err(bad_method(raw, &SERVICE_METHODS));
    }
    let (pool, path) = rest.split_once('/').unwrap_or((rest, ""));
    if pool.is_empty() {
        return Err(bad_call("path names no pool"));
    }
    let media = raw.headers.get("content-type").cloned();
    let body = Body {
        method: raw.method.clone(),
        path: format!("/{path}").into(),
        media: media.unwrap_or_else(|| "application/octet-stream".into()),
        content: raw.content.clone(),
    };
    Ok((pool.into(), body))
}

fn unknown_path(raw: &RawCall) -> Refusal {
    let known = "/v1/completions, /v1/chat/completions, /services/POOL/PATH";
    let detail = format!("path {:?} is none of {known}", raw.path);
    refuse(RefusalReason::UnknownPath, &detail)
}

fn bad_method(raw: &RawCall, allowed: &[&str]) -> Refusal {
    let detail = format!("method {:?} is none of {}", raw.method, allowed.join(", "));
    refuse(RefusalReason::BadMethod, &detail)
}

fn bad_call(detail: &str) -> Refusal {
    refuse(RefusalReason::BadCall, detail)
}

fn refuse(reason: RefusalReason, detail: &str) -> Refusal {
    Refusal::not_run(reason, Duration::ZERO, detail)
}
