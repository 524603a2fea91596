//! A fleet with model runners, for the cases about streams.

use std::fs::OpenOptions;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use crate::fleet::Fleet;

/// One runner as a process of its own.
pub struct Engine {
    words: Vec<String>,
    log: std::path::PathBuf,
    child: Option<Child>,
}

/// What a runner writes.
#[derive(Clone, Copy)]
pub struct Work {
    pub events: u64,
    pub gap_ms: u64,
}

impl Engine {
    pub fn new(
        fleet: &Fleet,
        net: u8,
        number: u8,
        stage: &str,
        version: &str,
        work: Work,
    ) -> Engine {
        let ip = Ipv4Addr::new(127, 0, net, 40 + number);
        let address = SocketAddr::new(IpAddr::V4(ip), fleet.ports.runner);
        let control: Vec<String> = fleet.control().iter().map(SocketAddr::to_string).collect();
        let zone = ["brno-a", "brno-b", "zlin-c"][usize::from(number) % 3];
        let words = vec![
            "runner".to_string(),
            format!("id=i-{number}"),
            format!("address={address}"),
            format!("zone={zone}"),
            format!("stage={stage}"),
            format!("version={version}"),
            format!("events={}", work.events),
            format!("gap={}", work.gap_ms),
            format!("control={}", control.join(",")),
        ];
        let log = fleet.folder.join(format!("runner-{number}.log"));
        Engine { words, log, child: None }
    }

    /// Starts the runner, which sends its first heartbeat at once.
    pub fn start(&mut self) {
        let log = OpenOptions::new().create(true).append(true).open(&self.log).expect("log");
        let mut command = Command::new(std::env::current_exe().expect("own path"));
        command.args(&self.words);
        command.stdin(Stdio::null()).stdout(log.try_clone().expect("log")).stderr(log);
        self.child = Some(command.spawn().expect("start of a runner"));
    }

    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// The next start has this software version.
    pub fn upgrade(&mut self, version: &str) {
        let word = self.words.iter_mut().find(|w| w.starts_with("version="));
        *word.expect("version") = format!("version={version}");
    }

    /// Waits for a line in the log.
    pub fn wait_for(&self, text: &str, from: usize, limit: Duration) -> bool {
        let begin = std::time::Instant::now();
        while begin.elapsed() < limit {
            let log = std::fs::read_to_string(&self.log).unwrap_or_default();
            if log.get(from..).is_some_and(|rest| rest.contains(text)) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(1));
        }
        false
    }

    /// The length of the log so far.
    pub fn logged(&self) -> usize {
        std::fs::metadata(&self.log).map_or(0, |m| m.len() as usize)
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The configuration: one streaming route that may be resumed.
pub fn config(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"quiz-summary\",\"host\":\"sum.example\",\
         \"pathPrefix\":\"/sum/\",\"type\":\"streaming\",\"timeoutMs\":14000,\"targetLatencyMs\":900,\
         \"priority\":1,\"service\":\"summariser\",\"maxAttempts\":2,\"sticky\":true,\
         \"resumable\":true,\"targetGapMs\":300}}],\"services\":[{{\"name\":\"summariser\",\
         \"healthPath\":\"/healthz\",\"maxConnections\":150,\"protocol\":\"h1\",\"tls\":false,\
         \"engine\":{{\"slots\":12,\"kvCapacityTokens\":33466,\"kvBytes\":163840,\
         \"linkMbps\":850000.0,\"moves\":true,\"backups\":true,\"stride\":11,\"most\":12,\
         \"kvRetentionS\":0.5,\"roleSwitchS\":6.0,\"pinMs\":4000.0,\"holdMs\":2000.0,\
         \"models\":[{{\"name\":\"m\"}}]}}}}],\"limits\":{{\"maxHeaderBytes\":16384,\
         \"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}}}"
    )
}

/// The addresses at which the edge machines take clients.
pub fn frontends(fleet: &Fleet) -> Vec<SocketAddr> {
    let port = fleet.ports.frontend;
    fleet.edge.iter().map(|m| SocketAddr::new(IpAddr::V4(m.ip), port)).collect()
}
