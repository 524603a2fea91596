//! A client asks with HEAD and GET by turns on one kept connection, while a change of the
//! configuration removes the route of the HEAD requests.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use crate::fleet::Fleet;
use crate::record::Record;
use crate::runner::{Kind, Runner};
use crate::versions::ms;

pub const HOST: &str = "ficu95.example";

/// Returns a configuration with one idempotent route for each prefix.
pub fn config(version: u64, prefixes: &[&str]) -> String {
    let route = |prefix: &&str| {
        format!(
            "{{\"name\":\"r-{prefix}\",\"host\":\"{HOST}\",\"pathPrefix\":\"/{prefix}/\",\
             \"type\":\"idempotent\",\"timeoutMs\":1200,\"targetLatencyMs\":150,\
             \"priority\":2,\"service\":\"wuno96b\",\"maxAttempts\":2}}"
        )
    };
    let routes: Vec<String> = prefixes.iter().map(route).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"wuno96b\",\
         \"healthPath\":\"/healthz\",\"maxConnections\":96,\"protocol\":\"h1\",\
         \"tls\":false}}],\"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}",
        routes.join(",")
    )
}

/// A kept connection, read byte by byte as HTTP/1.1 demands.
struct Kept {
    conn: TcpStream,
    text: Vec<u8>,
}

impl Kept {
    /// Sends a request and returns the first line, fields and content of what comes next.
    fn ask(
        &mut self,
        method: &str,
        path: &str,
        id: &str,
    ) -> std::io::Result<(String, String, String)> {
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nDotterelpin-Attempt-Id: {id}\r\n\
             Dotterelpin-Deadline-Ms: 2500\r\n\r\n"
        );
        self.conn.write_all(text.as_bytes())?;
        let end = loop {
            if let Some(at) = self.text.windows(4).position(|w| w == b"\r\n\r\n") {
                break at + 4;
            }
            let mut buffer = [0; 4096];
            let count = self.conn.read(&mut buffer)?;
            if count == 0 {
                return Err(std::io::Error::other("closed"));
            }
            self.text.extend_from_slice(&buffer[..count]);
        };
        let head = String::from_utf8_lossy(&self.text[..end]).into_owned();
        self.text.drain(..end);
        let (first, fields) = head.split_once("\r\n").unwrap_or((&head, ""));
        let mut body = Vec::new();
        // An answer to HEAD has no content, whatever its fields say (RFC 9110, 9.3.2).
        if method != "HEAD" {
            let length = field(fields, "content-length:").and_then(|l| l.parse().ok());
            let length: usize = length.unwrap_or(0);
            while self.text.len() < length {
                let mut buffer = [0; 4096];
                let count = self.conn.read(&mut buffer)?;
                if count == 0 {
                    return Err(std::io::Error::other("closed in the content"));
                }
                self.text.extend_from_slice(&buffer[..count]);
            }
            body.extend(self.text.drain(..length));
        }
        Ok((first.to_string(), fields.to_string(), String::from_utf8_lossy(&body).into_owned()))
    }
}

pub fn run(
    repository: &Path,
    record: &Arc<Record>,
    trouble: bool,
) -> Result<Option<String>, String> {
    let mut fleet = Fleet::new(repository).map_err(|e| e.to_string())?;
    for (at, name) in ["core-1", "core-2", "core-3"].into_iter().enumerate() {
        fleet.add(name, "control", 11 + at as u8);
    }
    fleet.add("edge-1", "gateway", 21);
    fleet.seeds = ["core-1", "core-2", "core-3"].map(String::from).to_vec();
    for name in ["core-1", "core-2", "core-3", "edge-1"] {
        fleet.start(name, true).map_err(|e| format!("{name}: {e}"))?;
    }
    ms(1_500);
    let controls = fleet.controls();
    let runners: Vec<_> = (0..3u8)
        .map(|n| {
            let kind = Kind {
                id: format!("i-{n}"),
                service: "wuno96b".into(),
                address: fleet.app(41 + n),
                zone: "brno-a".into(),
                version: "v1".into(),
                stage: None,
                slots: 6,
                events: 0,
                pace: Duration::from_millis(15),
                first_beat: Duration::ZERO,
                endless: false,
            };
            Runner::start(kind, &controls, record)
        })
        .collect();
    if fleet.publish(&config(3, &["read1", "read2"]), Duration::from_secs(10)) != 200 {
        return Err("the configuration was not acknowledged".into());
    }
    if !fleet.wait_ready(&["edge-1"], Duration::from_secs(15)) {
        return Err("the gateway is not ready".into());
    }
    ms(1_500);
    let to = fleet.frontend("edge-1");
    let conn =
        TcpStream::connect_timeout(&to, Duration::from_secs(1)).map_err(|e| e.to_string())?;
    conn.set_read_timeout(Some(Duration::from_secs(4))).map_err(|e| e.to_string())?;
    let mut kept = Kept { conn, text: Vec::new() };
    let mut broken = None;
    // Asks by turns with HEAD on the second route and with GET on the first one, which stays.
    let mut ask = |turn: usize, id: String| -> bool {
        let (method, path) = [("HEAD", "/read2/a"), ("GET", "/read1/a")][turn % 2];
        let (first, fields, body) = match kept.ask(method, path, &id) {
            Ok(answer) => answer,
            Err(error) => {
                record.line(&format!("{method} id={id}: {error}"));
                return false;
            }
        };
        let named = field(&fields, "dotterelpin-attempt-id:");
        record.line(&format!(
            "{method} {path} id={id} got {first:?} naming {named:?} content {body:?}"
        ));
        if !first.starts_with("HTTP/1.1 ") || named.as_deref() != Some(&id) {
            broken = Some(format!("{method} {path} id={id}: the answer began with {first:?}"));
            return false;
        }
        true
    };
    for turn in 0..4 {
        if !ask(turn, format!("calm{turn}")) {
            return Err("a request in calm was not answered".into());
        }
    }
    if trouble {
        let status = fleet.publish(&config(4, &["read1"]), Duration::from_secs(10));
        record.line(&format!("configuration 4 without /read2/: status {status}"));
        if status != 200 {
            return Err("the change was not acknowledged".into());
        }
    }
    // `configApplyMs` is 2,000.
    ms(2_500);
    for turn in 0..6 {
        if !ask(turn, format!("then{turn}")) {
            break;
        }
        ms(100);
    }
    drop(runners);
    Ok(broken)
}

fn field(fields: &str, name: &str) -> Option<String> {
    let value = |line: &str| line.to_lowercase().strip_prefix(name).map(|v| v.trim().to_string());
    fields.lines().find_map(value)
}
