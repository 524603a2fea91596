//! The project's own processes, started with the commands of the deploy file and the settings of its
//! template, each at a loopback address of its own.

use std::fs::{self, File, OpenOptions};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http;

const LINK_PORT: u16 = 17_660;
const CALLERS_PORT: u16 = 18_144;
const PAGES_PORT: u16 = 18_140;
const API_PORT: u16 = 18_146;
const READY_TIMEOUT: Duration = Duration::from_secs(15);

/// A child that ends with this value.
pub struct Process {
    child: Child,
}

impl Process {
    pub fn spawn(mut command: Command, log: &Path) -> std::io::Result<Process> {
        let out = OpenOptions::new().create(true).append(true).open(log)?;
        let err: File = out.try_clone()?;
        command.stdin(Stdio::null()).stdout(out).stderr(err);
        Ok(Process { child: command.spawn()? })
    }

    /// Kills the process with SIGKILL and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends a signal by its name, such as `-STOP`.
    pub fn signal(&self, signal: &str) {
        let _ = Command::new("kill").args([signal, &self.child.id().to_string()]).status();
    }

    /// Returns how the process has ended, if it has.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The bounds of a deployment that the commands name.
#[derive(Clone, Copy)]
pub struct Bounds {
    pub ratio: &'static str,
    pub extra: &'static str,
    pub window: &'static str,
    pub grace: &'static str,
}

pub struct Fleet {
    pub folder: PathBuf,
    net: u8,
    bounds: Bounds,
    /// The control members that settings files name.
    pub seeds: Vec<usize>,
    pub controls: Vec<Process>,
    pub gateways: Vec<Process>,
}

fn address(net: u8, class: u8, index: usize, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, net, class, index as u8 + 1)), port)
}

/// Returns a part of the loopback network whose addresses are free.
fn free_net() -> Option<u8> {
    let first = (std::process::id() % 200) as u8;
    (0..200_u8).map(|n| 20 + first.wrapping_add(n) % 200).find(|net| {
        let taken = |class, port| {
            let at = address(*net, class, 0, port);
            TcpListener::bind(at).is_err() || UdpSocket::bind(at).is_err()
        };
        !taken(1, LINK_PORT) && !taken(1, API_PORT) && !taken(2, CALLERS_PORT)
    })
}

impl Fleet {
    /// Prepares a new site with this many control members; nothing runs yet.
    pub fn prepare(controls: usize, bounds: Bounds) -> Result<Fleet, String> {
        let folder = std::env::temp_dir().join(format!("stand-in-4-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|e| format!("folder: {e}"))?;
        let net = free_net().ok_or("no free loopback addresses")?;
        let (own, peers) = (Vec::new(), Vec::new());
        let seeds = (0..controls.min(3)).collect();
        Ok(Fleet { folder, net, bounds, seeds, controls: own, gateways: peers })
    }

    /// Starts the control members and the gateways of a new site.
    pub fn start(controls: usize, gateways: usize, bounds: Bounds) -> Result<Fleet, String> {
        let mut fleet = Fleet::prepare(controls, bounds)?;
        for index in 0..controls {
            let process = fleet.control(index, true)?;
            fleet.controls.push(process);
        }
        for index in 0..gateways {
            let process = fleet.gateway(index, true)?;
            fleet.gateways.push(process);
        }
        Ok(fleet)
    }

    pub fn api(&self, index: usize) -> SocketAddr {
        address(self.net, 1, index, API_PORT)
    }

    pub fn callers(&self, index: usize) -> SocketAddr {
        address(self.net, 2, index, CALLERS_PORT)
    }

    pub fn pages(&self, index: usize) -> SocketAddr {
        address(self.net, 2, index, PAGES_PORT)
    }

    /// Returns the address of a runner.
    pub fn runner(&self, index: usize) -> SocketAddr {
        address(self.net, 3, index, 18_080)
    }

    /// Writes the settings file of a process by the template of the deploy file.
    fn settings(
        &self,
        name: &str,
        own: SocketAddr,
        bootstrap: bool,
        extra: &str,
    ) -> Result<PathBuf, String> {
        let seeds: Vec<String> = self.seeds.iter().map(|i| self.api(*i).to_string()).collect();
        let text = format!(
            "name = \"{name}\"\ndomain = \"a\"\nlisten = \"{own}\"\nmembers = \"{}\"\n\
             members_port = \"{LINK_PORT}\"\nkeys = \"target/fleet-key\"\nlosses = \"1\"\n\
             bootstrap = \"{bootstrap}\"\n{extra}memory_mb = 256\nmax_fds = 4096\n",
            seeds.join(",")
        );
        let path = self.folder.join(format!("{name}.toml"));
        fs::write(&path, text).map_err(|e| format!("settings: {e}"))?;
        Ok(path)
    }

    fn spawn(&self, name: &str, settings: &Path, words: &[&str]) -> Result<Process, String> {
        let mut command = Command::new("target/release/dotterelpin-platform");
        command.arg("--settings").arg(settings).args(words);
        let log = self.folder.join(format!("{name}.log"));
        Process::spawn(command, &log).map_err(|e| format!("start {name}: {e}"))
    }

    /// Writes the settings file of a control member.
    pub fn control_settings(
        &self,
        index: usize,
        bootstrap: bool,
    ) -> Result<(String, PathBuf), String> {
        let name = format!("core-{index}");
        let data = self.folder.join(format!("data-{index}"));
        let extra = format!("data = \"{}\"\napi = \"{}\"\n", data.display(), self.api(index));
        let own = address(self.net, 1, index, LINK_PORT);
        let path = self.settings(&name, own, bootstrap, &extra)?;
        Ok((name, path))
    }

    /// Writes the settings file of a gateway.
    pub fn gateway_settings(
        &self,
        index: usize,
        bootstrap: bool,
    ) -> Result<(String, PathBuf), String> {
        let name = format!("edge-{index}");
        let (callers, pages) = (self.callers(index), self.pages(index));
        let extra = format!("callers = \"{callers}\"\npages = \"{pages}\"\n");
        let own = address(self.net, 2, index, LINK_PORT);
        let path = self.settings(&name, own, bootstrap, &extra)?;
        Ok((name, path))
    }

    pub fn control(&self, index: usize, bootstrap: bool) -> Result<Process, String> {
        let (name, settings) = self.control_settings(index, bootstrap)?;
        let words = ["--roles", "control,api", "--prefill-share", "15", "--prefill-spare", "2"];
        self.spawn(&name, &settings, &[&words[..], &["--grace", self.bounds.grace]].concat())
    }

    pub fn gateway(&self, index: usize, bootstrap: bool) -> Result<Process, String> {
        let (name, settings) = self.gateway_settings(index, bootstrap)?;
        let Bounds { ratio, extra, window, grace } = self.bounds;
        let words = ["--roles", "gateway", "--retry-ratio", ratio, "--retry-extra", extra];
        let more = ["--retry-window", window, "--grace", grace];
        self.spawn(&name, &settings, &[&words[..], &more].concat())
    }

    /// Sends a configuration to the members that the settings name until it is acknowledged; returns
    /// how long that took, or `None` if it was not within a time.
    pub fn publish(&self, text: &str, within: Duration) -> Option<Duration> {
        let begin = Instant::now();
        let fields = [("Host", "control"), ("Content-Type", "application/json")];
        let bytes = http::request("POST", "/config/replace", &fields, text.as_bytes());
        let mut turn = 0;
        while begin.elapsed() < within {
            let api = self.api(self.seeds[turn % self.seeds.len()]);
            turn += 1;
            if http::once(api, &bytes, Duration::from_secs(2)).is_some_and(|(s, _)| s == 200) {
                return Some(begin.elapsed());
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        None
    }

    /// Waits until all gateways say that they are ready.
    pub fn wait_ready(&self) -> bool {
        let begin = Instant::now();
        let bytes = http::request("GET", "/readyz", &[("Host", "edge")], b"");
        let ready = |index: usize| {
            let answer = http::once(self.pages(index), &bytes, Duration::from_secs(1));
            answer.is_some_and(|(status, _)| status == 200)
        };
        while begin.elapsed() < READY_TIMEOUT {
            if (0..self.gateways.len()).all(ready) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Ends all processes and removes their files, or keeps them for a look at the logs.
    pub fn end(mut self) {
        self.gateways.clear();
        self.controls.clear();
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("files are in {}", self.folder.display());
        }
    }
}
