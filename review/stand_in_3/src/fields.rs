//! Proper requests with many short header fields, far within the limits of the configuration.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use crate::fleet::Fleet;
use crate::head_case::{config, HOST};
use crate::http;
use crate::record::Record;
use crate::runner::{Kind, Runner};
use crate::versions::ms;

fn ask(to: SocketAddr, id: &str, fields: usize) -> std::io::Result<(u16, usize, String)> {
    let mut conn = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    conn.set_read_timeout(Some(Duration::from_secs(4)))?;
    let more: String = (0..fields).map(|n| format!("x-{n}: {n}\r\n")).collect();
    let text = format!(
        "GET /read1/a HTTP/1.1\r\nHost: {HOST}\r\nDotterelpin-Attempt-Id: {id}\r\n\
         Dotterelpin-Deadline-Ms: 2500\r\n{more}\r\n"
    );
    conn.write_all(text.as_bytes())?;
    let mut reader = BufReader::new(conn);
    let head = http::read_head(&mut reader)?.ok_or_else(|| std::io::Error::other("closed"))?;
    let body = http::read_body(&mut reader, &head)?;
    Ok((head.status(), text.len(), String::from_utf8_lossy(&body).trim().to_string()))
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
    for n in 0..3u8 {
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
        Runner::start(kind, &controls, record);
    }
    if fleet.publish(&config(3, &["read1"]), Duration::from_secs(10)) != 200 {
        return Err("the configuration was not acknowledged".into());
    }
    if !fleet.wait_ready(&["edge-1"], Duration::from_secs(15)) {
        return Err("the gateway is not ready".into());
    }
    ms(1_500);
    let to = fleet.frontend("edge-1");
    let mut denied = 0;
    for n in 0..40 {
        let count = if trouble { 150 } else { 100 };
        let id = format!("f{n:03}");
        match ask(to, &id, count) {
            Ok((status, bytes, text)) => {
                record.line(&format!(
                    "id={id} {count} more fields, {bytes} bytes: {status} {text:?}"
                ));
                denied +=
                    u32::from((400..500).contains(&status) && ![408, 421, 429].contains(&status));
            }
            Err(error) => record.line(&format!("id={id}: {error}")),
        }
        ms(30);
    }
    Ok((denied > 5).then(|| format!("{denied} of 40 proper requests were denied")))
}
