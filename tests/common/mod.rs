//! Starts test fleets: the real programs as processes on loopback.

#![allow(dead_code, missing_docs)]

pub mod address;
pub mod relay;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use address::free_address;
use dotterelpin::entry::check::credential_hash;
use eyre::{WrapErr, bail, eyre};
use serde_json::Value;

/// Credential of the tenant `tabulka`, which every test fleet accepts.
pub const CREDENTIAL: &str = "tabulka-secret";
/// How long a log line may take to reach the file on a busy machine.
const LOG_TIMEOUT: Duration = Duration::from_secs(10);
const POLL: Duration = Duration::from_millis(20);

/// A child process that is killed when this value is dropped.
pub struct Process {
    pub name: String,
    child: Child,
    command: Vec<String>,
    log: PathBuf,
}

impl Process {
    pub fn start(program: &Path, args: &[String], name: &str, folder: &Path) -> eyre::Result<Self> {
        let log = folder.join(format!("{name}.log"));
        let file = std::fs::OpenOptions::new().create(true).append(true).open(&log)?;
        let child = Command::new(program)
            .args(args)
            .stdin(Stdio::null())
            .stdout(file.try_clone()?)
            .stderr(file)
            .spawn()
            .wrap_err_with(|| format!("start {}", program.display()))?;
        let mut command = vec![program.display().to_string()];
        command.extend_from_slice(args);
        Ok(Process { name: name.to_string(), child, command, log })
    }

    /// Sends a signal such as `-TERM` with `kill`.
    pub fn signal(&self, signal: &str) -> eyre::Result<()> {
        let id = self.child.id().to_string();
        let status = Command::new("kill").args([signal, &id]).status().wrap_err("run kill")?;
        eyre::ensure!(status.success(), "kill {signal} {id} failed");
        Ok(())
    }

    /// Kills the process with SIGKILL and waits for its exit.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Kills the process if it runs, and starts the same command again.
    pub fn restart(&mut self) -> eyre::Result<()> {
        self.kill();
        let folder = self.log.parent().ok_or_else(|| eyre!("the log file has no parent folder"))?;
        let program = PathBuf::from(&self.command[0]);
        *self = Process::start(&program, &self.command[1..], &self.name.clone(), folder)?;
        Ok(())
    }

    pub fn exit_within(&mut self, timeout: Duration) -> Option<i32> {
        wait_for(timeout, || match self.child.try_wait() {
            Ok(Some(status)) => Ok(status.code().unwrap_or(-1)),
            _ => bail!("the process is still running"),
        })
        .ok()
    }

    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }

    /// Waits until the log contains a text; lines are written some milliseconds after their event.
    pub fn expect_log(&self, text: &str) {
        let found = || {
            eyre::ensure!(
                self.log().contains(text),
                "{} did not log {text} within {LOG_TIMEOUT:?}",
                self.name
            );
            Ok(())
        };
        wait_for(LOG_TIMEOUT, found).unwrap();
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A stand-in for an endpoint, with its agent.
pub struct Endpoint {
    pub agent: Process,
    pub stand_in: Process,
    pub url: String,
    pub pages: SocketAddr,
}

impl Endpoint {
    /// Returns the counters of the stand-in.
    pub fn counts(&self) -> eyre::Result<Value> {
        get_json(&format!("{}/admin/counts", self.url))
    }

    pub fn fault(&self, body: Value) -> eyre::Result<()> {
        ureq::post(format!("{}/admin/fault", self.url)).send_json(body)?;
        Ok(())
    }
}

/// An entry with the URL for callers and the address of its health and metrics pages.
pub struct EntryProcess {
    pub process: Process,
    pub url: String,
    pub pages: SocketAddr,
}

/// A fleet of processes, which are killed when it is dropped.
pub struct Fleet {
    pub folder: PathBuf,
    pub members: Vec<SocketAddr>,
    pub controls: Vec<Process>,
    pub entries: Vec<EntryProcess>,
    pub endpoints: Vec<Endpoint>,
    /// Whether agents started from now on are reached through a relay of their own.
    pub relayed: bool,
    pub relays: Vec<relay::Relay>,
    endpoint_count: usize,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("logs are in {}", self.folder.display());
            return;
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    /// Creates the keys and the tenants file, and starts `controls` control members.
    pub fn new(controls: usize) -> eyre::Result<Fleet> {
        let unique = format!("dotterelpin-{}-{}", std::process::id(), free_udp()?.port());
        let folder = std::env::temp_dir().join(unique);
        std::fs::create_dir_all(&folder)?;
        std::fs::write(
            folder.join("tenants"),
            format!("tabulka {}\n", credential_hash(CREDENTIAL)),
        )?;
        let members = (0..controls).map(|_| free_udp()).collect::<eyre::Result<Vec<_>>>()?;
        let mut fleet = Fleet {
            folder,
            members,
            controls: Vec::new(),
            entries: Vec::new(),
            endpoints: Vec::new(),
            relayed: false,
            relays: Vec::new(),
            endpoint_count: 0,
        };
        let output = fleet.tool(&["keys", &fleet.path("keys")])?;
        eyre::ensure!(
            output.status.success(),
            "the subcommand keys failed: {}",
            String::from_utf8_lossy(&output.stderr)
        );
        for (index, listen) in fleet.members.clone().into_iter().enumerate() {
            let name = format!("control-{index}");
            let mut args = fleet.common_args("control", &name, "brno-a", listen);
            args.extend(["--data".into(), fleet.path(&format!("data-{index}"))]);
            let process = Process::start(&program("dotterelpind"), &args, &name, &fleet.folder)?;
            fleet.controls.push(process);
        }
        Ok(fleet)
    }

    fn path(&self, name: &str) -> String {
        self.folder.join(name).display().to_string()
    }

    fn common_args(&self, role: &str, name: &str, domain: &str, listen: SocketAddr) -> Vec<String> {
        let members: Vec<String> = self.members.iter().map(SocketAddr::to_string).collect();
        let flags = [
            ("--roles", role.to_string()),
            ("--name", name.to_string()),
            ("--domain", domain.to_string()),
            ("--listen", listen.to_string()),
            ("--members", members.join(",")),
            ("--keys", self.path("keys")),
        ];
        flags.into_iter().flat_map(|(flag, value)| [flag.to_string(), value]).collect()
    }

    /// Starts an entry and returns its index.
    pub fn entry(&mut self, domain: &str) -> eyre::Result<usize> {
        self.entry_with(domain, &[])
    }

    /// Starts an entry with extra flags and returns its index.
    pub fn entry_with(&mut self, domain: &str, extra: &[&str]) -> eyre::Result<usize> {
        let name = format!("entry-{}", self.entries.len());
        let (callers, pages) = (free_tcp()?, free_tcp()?);
        let mut args = self.common_args("entry", &name, domain, free_udp()?);
        args.extend(["--callers".into(), callers.to_string()]);
        args.extend(["--pages".into(), pages.to_string()]);
        args.extend(["--tenants".into(), self.path("tenants")]);
        args.extend(extra.iter().map(|a| (*a).to_string()));
        let process = Process::start(&program("dotterelpind"), &args, &name, &self.folder)?;
        let url = format!("http://{callers}");
        self.entries.push(EntryProcess { process, url, pages });
        Ok(self.entries.len() - 1)
    }

    /// Replaces the only control member by a process that is an entry as well, and returns the
    /// entry's index.
    pub fn entry_in_control(&mut self, extra: &[&str]) -> eyre::Result<usize> {
        self.controls.clear();
        let (callers, pages) = (free_tcp()?, free_tcp()?);
        let name = "entry-control";
        let mut args = self.common_args("entry,control", name, "brno-a", self.members[0]);
        args.extend(["--data".into(), self.path("data-0")]);
        args.extend(["--callers".into(), callers.to_string()]);
        args.extend(["--pages".into(), pages.to_string()]);
        args.extend(["--tenants".into(), self.path("tenants")]);
        args.extend(extra.iter().map(|a| (*a).to_string()));
        let process = Process::start(&program("dotterelpind"), &args, name, &self.folder)?;
        self.entries.push(EntryProcess { process, url: format!("http://{callers}"), pages });
        Ok(self.entries.len() - 1)
    }

    /// Starts a stand-in engine of a kind with its agent and returns the index of the endpoint.
    pub fn engine(&mut self, kind: &str, domain: &str, extra: &[&str]) -> eyre::Result<usize> {
        let mut args = vec!["--kind".to_string(), kind.to_string()];
        args.extend(["--pool".to_string(), "cs-summary".to_string()]);
        args.extend(extra.iter().map(|a| (*a).to_string()));
        self.endpoint("stand_in_engine", kind, domain, args)
    }

    /// Starts a stand-in service with its agent and returns the index of the endpoint.
    pub fn service(&mut self, domain: &str, extra: &[&str]) -> eyre::Result<usize> {
        let mut args = vec!["--pool".to_string(), "classroom".to_string()];
        args.extend(extra.iter().map(|a| (*a).to_string()));
        self.endpoint("stand_in_service", "service", domain, args)
    }

    fn endpoint(
        &mut self,
        stand_in: &str,
        kind: &str,
        domain: &str,
        mut args: Vec<String>,
    ) -> eyre::Result<usize> {
        self.endpoint_count += 1;
        let name = format!("{kind}-{}", self.endpoint_count);
        let (listen, pages) = (free_tcp()?, free_tcp()?);
        args.extend(["--listen".into(), listen.to_string()]);
        args.extend(["--agent".into(), pages.to_string()]);
        let address = free_udp()?;
        let mut agent_args = self.common_args("agent", &name, domain, address);
        if self.relayed {
            let relay = relay::Relay::start(address)?;
            agent_args.extend(["--advertise".into(), relay.address.to_string()]);
            self.relays.push(relay);
        }
        agent_args.extend(["--pages".into(), pages.to_string()]);
        let agent = Process::start(&program("dotterelpind"), &agent_args, &name, &self.folder)?;
        let stand_in_name = format!("{name}-stand-in");
        let stand_in = Process::start(&example(stand_in), &args, &stand_in_name, &self.folder)?;
        self.endpoints.push(Endpoint { agent, stand_in, url: format!("http://{listen}"), pages });
        Ok(self.endpoints.len() - 1)
    }

    /// Runs the command-line tool with the members and keys of the fleet.
    pub fn tool(&self, args: &[&str]) -> eyre::Result<Output> {
        let members: Vec<String> = self.members.iter().map(SocketAddr::to_string).collect();
        Command::new(program("dotterelpin"))
            .env("DOTTERELPIN_MEMBERS", members.join(","))
            .env("DOTTERELPIN_KEYS", self.path("keys"))
            .args(args)
            .output()
            .wrap_err("run the tool")
    }

    /// Runs the tool and returns its standard output, or an error with its standard error.
    pub fn tool_text(&self, args: &[&str]) -> eyre::Result<String> {
        let output = self.tool(args)?;
        let text = String::from_utf8_lossy(&output.stdout).into_owned();
        if !output.status.success() {
            bail!("{args:?}: {}", String::from_utf8_lossy(&output.stderr));
        }
        Ok(text)
    }

    /// Waits until the status lists all started endpoints and processes and the entries are ready.
    pub fn wait_ready(&self) -> eyre::Result<()> {
        let processes = self.controls.len().min(1) + self.entries.len() + self.endpoints.len();
        wait_for(Duration::from_secs(15), || {
            let status: Value = serde_json::from_str(&self.tool_text(&["--json", "status"])?)?;
            let count = |name: &str| status[name].as_array().map_or(0, Vec::len);
            eyre::ensure!(
                count("endpoints") == self.endpoints.len(),
                "not exactly the started endpoints are listed: {status}"
            );
            eyre::ensure!(
                count("processes") >= processes,
                "fewer than {processes} processes are listed: {status}"
            );
            Ok(())
        })?;
        for entry in 0..self.entries.len() {
            wait_for(Duration::from_secs(15), || {
                let reply = self.call(entry, "GET", "/services/no-such-pool/x", &[], "")?;
                eyre::ensure!(
                    reply.body.contains("no-endpoint"),
                    "entry {entry} did not answer no-endpoint: {}",
                    reply.body
                );
                Ok(())
            })?;
        }
        // An entry receives the endpoints with its next heartbeat.
        std::thread::sleep(Duration::from_millis(700));
        Ok(())
    }

    /// Sends one call to an entry and reads the complete answer.
    pub fn call(
        &self,
        entry: usize,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> eyre::Result<Answer> {
        call(&self.entries[entry].url, method, path, headers, body)
    }

    /// Requests a streamed summary from an entry and reads it to its end.
    pub fn stream(&self, entry: usize, prompt: &str, tokens: u32) -> eyre::Result<Streamed> {
        open_stream(&self.entries[entry].url, prompt, tokens)?.read_all()
    }
}

/// A complete answer.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub ran: Option<String>,
    pub retry_after: Option<String>,
    pub body: String,
}

/// The events of a stream that has ended.
#[derive(Debug, Default)]
pub struct Streamed {
    pub text: String,
    pub parts: usize,
    pub done: bool,
    pub error: Option<Value>,
}

/// A stream that is being read.
pub struct OpenStream {
    lines: std::io::Lines<BufReader<ureq::BodyReader<'static>>>,
}

impl OpenStream {
    /// Returns the next data event, or `None` at the end of the stream.
    pub fn next_event(&mut self) -> eyre::Result<Option<String>> {
        for line in self.lines.by_ref() {
            if let Some(data) = line?.strip_prefix("data: ") {
                return Ok(Some(data.to_string()));
            }
        }
        Ok(None)
    }

    pub fn read_all(mut self) -> eyre::Result<Streamed> {
        let mut streamed = Streamed::default();
        while let Some(data) = self.next_event()? {
            if data == "[DONE]" {
                streamed.done = true;
                continue;
            }
            let event: Value = serde_json::from_str(&data)?;
            if event.get("error").is_some() {
                streamed.error = Some(event);
                continue;
            }
            if let Some(text) = event["choices"][0]["text"].as_str().filter(|t| !t.is_empty()) {
                streamed.text.push_str(text);
                streamed.parts += 1;
            }
        }
        Ok(streamed)
    }
}

pub fn open_stream(url: &str, prompt: &str, tokens: u32) -> eyre::Result<OpenStream> {
    let body = serde_json::json!({
        "model": "cs-summary", "prompt": prompt, "max_tokens": tokens, "stream": true,
    });
    let response = ureq::post(format!("{url}/v1/completions"))
        .config()
        .http_status_as_error(false)
        .build()
        .header("authorization", format!("Bearer {CREDENTIAL}"))
        .send_json(body)?;
    let status = response.status();
    let mut body = response.into_body();
    if !status.is_success() {
        bail!("{status}: {}", body.read_to_string()?);
    }
    Ok(OpenStream { lines: BufReader::new(body.into_reader()).lines() })
}

pub fn call(
    url: &str,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> eyre::Result<Answer> {
    let mut request = ureq::http::Request::builder().method(method).uri(format!("{url}{path}"));
    request = request.header("authorization", format!("Bearer {CREDENTIAL}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let config = ureq::Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(Duration::from_secs(30)))
        .build();
    let mut response = config.new_agent().run(request.body(body.to_string())?)?;
    let header = |name: &str| {
        response.headers().get(name).and_then(|v| v.to_str().ok()).map(ToString::to_string)
    };
    let (ran, retry_after) = (header("x-dotterelpin-ran"), header("retry-after"));
    let status = response.status().as_u16();
    let body = response.body_mut().read_to_string()?;
    Ok(Answer { status, ran, retry_after, body })
}

pub fn get_json(url: &str) -> eyre::Result<Value> {
    Ok(ureq::get(url).call()?.body_mut().read_json()?)
}

/// Retries until the attempt succeeds or the timeout has passed; returns its last result.
pub fn wait_for<T>(
    timeout: Duration,
    mut attempt: impl FnMut() -> eyre::Result<T>,
) -> eyre::Result<T> {
    let deadline = Instant::now() + timeout;
    loop {
        match attempt() {
            Ok(value) => return Ok(value),
            Err(error) if Instant::now() >= deadline => return Err(error),
            Err(_) => std::thread::sleep(POLL),
        }
    }
}

pub fn free_udp() -> eyre::Result<SocketAddr> {
    free_address()
}

pub fn free_tcp() -> eyre::Result<SocketAddr> {
    free_address()
}

/// Returns the folder of the programs of this build.
fn build_folder() -> PathBuf {
    let exe = std::env::current_exe().unwrap_or_default();
    exe.ancestors().nth(2).map(Path::to_path_buf).unwrap_or_default()
}

pub fn program(name: &str) -> PathBuf {
    build_folder().join(name)
}

fn example(name: &str) -> PathBuf {
    build_folder().join("examples").join(name)
}
