//! The project's own programs, started with the commands of the deploy file, and the operator.

use std::fs::File;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use super::http::{call, wait};
use super::record::Record;

const PROGRAM: &str = "target/release/dotterelpin-platform";
/// The ports of each machine: for other processes, the API, callers and readiness.
const PORTS: u16 = 4;

/// A process under test.
pub struct Process {
    child: Child,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// One machine with its process.
pub struct Machine {
    /// The name of the machine.
    pub name: String,
    address: Ipv4Addr,
    settings: PathBuf,
    flags: Vec<String>,
    /// The process; `None` while it is down.
    pub process: Option<Process>,
}

/// Three `core` machines and some `edge` machines.
pub struct Fleet {
    folder: PathBuf,
    port: u16,
    /// The machines of class `core`.
    pub cores: Vec<Machine>,
    /// The machines of class `edge`.
    pub edges: Vec<Machine>,
}

fn is_free(address: Ipv4Addr, port: u16) -> bool {
    UdpSocket::bind((address, port)).is_ok() && TcpListener::bind((address, port)).is_ok()
}

/// Returns the loopback address of a machine; each run has a network of its own.
fn address(number: u8) -> Ipv4Addr {
    let [_, _, middle, low] = std::process::id().to_be_bytes();
    Ipv4Addr::new(127, 64 | (middle & 63), low, number)
}

impl Fleet {
    /// Starts all processes.
    pub fn start(record: &Record, edges: u8) -> Result<Fleet, String> {
        if !std::path::Path::new(PROGRAM).exists() {
            return Err(format!("{PROGRAM} is missing; run the build of the deploy file"));
        }
        let all: Vec<Ipv4Addr> = (1..=3).chain((0..edges).map(|n| 11 + n)).map(address).collect();
        let free = |port: &u16| all.iter().all(|a| (*port..*port + PORTS).all(|p| is_free(*a, p)));
        let port = (12_000..30_000).step_by(16).find(free).ok_or("no free ports")?;
        let unique = format!("dotterelpin-review-{}", std::process::id());
        let folder = std::env::temp_dir().join(unique);
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let mut fleet = Fleet { folder, port, cores: Vec::new(), edges: Vec::new() };
        for number in 0..3 {
            let name = format!("core-{number}");
            let flags = "--roles control,api --prefill-share 15 --prefill-spare 2 --grace 8";
            let machine = fleet.machine(&name, address(1 + number), flags, true)?;
            fleet.cores.push(machine);
        }
        for number in 0..edges {
            let name = format!("edge-{number}");
            let flags = "--roles gateway --retry-ratio 0.2 --retry-extra 58 --retry-window 10 \
                         --grace 8";
            let machine = fleet.machine(&name, address(11 + number), flags, false)?;
            fleet.edges.push(machine);
        }
        let Fleet { cores, edges, folder, .. } = &mut fleet;
        for machine in cores.iter_mut().chain(edges.iter_mut()) {
            machine.start(folder)?;
            record.line(&format!("started {} at {}", machine.name, machine.address));
        }
        Ok(fleet)
    }

    /// Writes the settings of a machine, as the template of the deploy file gives them.
    fn machine(
        &self,
        name: &str,
        address: Ipv4Addr,
        flags: &str,
        core: bool,
    ) -> Result<Machine, String> {
        let port = self.port;
        let seeds: Vec<String> =
            (1..=3).map(|n| format!("{}:{}", super::fleet::address(n), port + 1)).collect();
        let mut text = format!(
            "name = \"{name}\"\ndomain = \"zone-a\"\nlisten = \"{address}:{port}\"\n\
             members = \"{}\"\nmembers_port = \"{port}\"\nkeys = \"target/fleet-key\"\n",
            seeds.join(",")
        );
        if core {
            let data = self.folder.join(format!("data-{name}"));
            text += &format!("data = \"{}\"\napi = \"{address}:{}\"\n", data.display(), port + 1);
        } else {
            text += &format!("callers = \"{address}:{}\"\n", port + 2);
            text += &format!("pages = \"{address}:{}\"\n", port + 3);
        }
        let settings = self.folder.join(format!("{name}.toml"));
        std::fs::write(&settings, text).map_err(|e| e.to_string())?;
        let flags = flags.split_whitespace().map(str::to_string).collect();
        Ok(Machine { name: name.into(), address, settings, flags, process: None })
    }

    /// Returns the address of the API of a `core` machine.
    pub fn api(&self, number: usize) -> SocketAddr {
        (self.cores[number % self.cores.len()].address, self.port + 1).into()
    }

    /// Returns the addresses of all APIs.
    pub fn apis(&self) -> Vec<SocketAddr> {
        (0..self.cores.len()).map(|n| self.api(n)).collect()
    }

    /// Returns the address for callers of an `edge` machine.
    pub fn frontend(&self, number: usize) -> SocketAddr {
        (self.edges[number % self.edges.len()].address, self.port + 2).into()
    }

    /// Starts the processes of `edge` machines again that have ended by themselves, and returns their
    /// names.
    pub fn restart_ended(&mut self) -> Result<Vec<String>, String> {
        let mut names = Vec::new();
        for machine in &mut self.edges {
            let Some(process) = &mut machine.process else { continue };
            if matches!(process.child.try_wait(), Ok(Some(_))) {
                names.push(machine.name.clone());
                machine.start(&self.folder)?;
            }
        }
        Ok(names)
    }

    /// Sends a configuration until it is acknowledged.
    pub fn configure(&self, record: &Record, text: &str) -> Result<(), String> {
        let mut turn = 0;
        let sent = wait(Duration::from_secs(15), || {
            turn += 1;
            let path = "/config/replace";
            let timeout = Duration::from_secs(1);
            let answer = call(self.api(turn), "POST", path, text.as_bytes(), timeout);
            matches!(answer, Ok(answer) if answer.status() == 200)
        });
        record.line(&format!("configuration acknowledged: {sent}"));
        sent.then_some(()).ok_or_else(|| "the configuration was not acknowledged".into())
    }

    /// Waits until all `edge` machines are ready.
    pub fn wait_ready(&self, record: &Record) -> Result<(), String> {
        let ready = |machine: &Machine| {
            let pages = (machine.address, self.port + 3).into();
            let answer = call(pages, "GET", "/readyz", b"", Duration::from_secs(1));
            matches!(answer, Ok(answer) if answer.status() == 200)
        };
        let all = wait(Duration::from_secs(15), || self.edges.iter().all(ready));
        record.line(&format!("all edges ready: {all}"));
        all.then_some(()).ok_or_else(|| "the edges were not ready in time".into())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.cores.clear();
        self.edges.clear();
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

impl Machine {
    /// Starts the process.
    pub fn start(&mut self, folder: &std::path::Path) -> Result<(), String> {
        let log = folder.join(format!("{}.log", self.name));
        let log = File::options().create(true).append(true).open(log).map_err(|e| e.to_string())?;
        let child = Command::new(PROGRAM)
            .arg("--settings")
            .arg(&self.settings)
            .args(&self.flags)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(|e| e.to_string())?)
            .stderr(log)
            .spawn()
            .map_err(|e| format!("{}: {e}", self.name))?;
        self.process = Some(Process { child });
        Ok(())
    }
}

/// Returns a free loopback address for a stand-in.
pub fn free_address(number: u8) -> Result<SocketAddr, String> {
    let listener = TcpListener::bind((address(number), 0)).map_err(|e| e.to_string())?;
    listener.local_addr().map_err(|e| e.to_string())
}
