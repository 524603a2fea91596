//! The project's programs as separate processes, started with the commands of the deploy file, and
//! the operator that sends configurations.

use std::fs::{self, OpenOptions};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::record::Record;

/// The bounds of a small deployment, as the sheet of `tabulka-brno` names them.
pub const STABLE: Duration = Duration::from_millis(3_000);
pub const CATCH_UP: Duration = Duration::from_secs(4);
pub const RECOVERY: Duration = Duration::from_secs(12);

/// One machine with its process.
pub struct Machine {
    pub name: String,
    pub ip: Ipv4Addr,
    folder: PathBuf,
    words: Vec<String>,
    child: Option<Child>,
    /// The exits of the process by itself.
    pub exits: u32,
}

/// The ports, which are the same on all machines.
#[derive(Clone, Copy)]
pub struct Ports {
    pub internal: u16,
    pub control: u16,
    pub frontend: u16,
    pub ready: u16,
    pub runner: u16,
}

pub struct Fleet {
    pub folder: PathBuf,
    pub ports: Ports,
    pub core: Vec<Machine>,
    pub edge: Vec<Machine>,
}

fn free(ip: Ipv4Addr, port: u16) -> bool {
    TcpListener::bind((ip, port)).is_ok() && UdpSocket::bind((ip, port)).is_ok()
}

/// Returns ports that are free on all addresses of the fleet.
fn free_ports(net: u8) -> Ports {
    let mut first = 21_000 + (std::process::id() % 1_200) as u16 * 8;
    loop {
        let ips = (1..=60).map(|host| Ipv4Addr::new(127, 0, net, host));
        let all = |port: u16| ips.clone().all(|ip| free(ip, port));
        if (first..first + 5).all(all) {
            return Ports {
                internal: first,
                control: first + 1,
                frontend: first + 2,
                ready: first + 3,
                runner: first + 4,
            };
        }
        first = 21_000 + (first - 21_000 + 8) % 9_600;
    }
}

impl Fleet {
    /// Prepares the machines: `core` with a disk each and `edge` without.
    pub fn new(name: &str, net: u8, core: usize, edge: usize) -> Fleet {
        let folder = std::env::temp_dir().join(format!("review-2-{name}-{}", std::process::id()));
        fs::create_dir_all(&folder).expect("temporary folder");
        let ports = free_ports(net);
        let mut fleet = Fleet { folder, ports, core: Vec::new(), edge: Vec::new() };
        let seeds: Vec<String> =
            (1..=core.min(3)).map(|n| format!("127.0.{net}.{n}:{}", ports.control)).collect();
        for n in 1..=core {
            let ip = Ipv4Addr::new(127, 0, net, n as u8);
            let command = "target/release/dotterelpin-platform --settings SETTINGS \
                           --roles control,api --prefill-share 15 --prefill-spare 2 --grace 8";
            let machine = fleet.machine(&format!("core-{n}"), ip, command, &seeds, n);
            fleet.core.push(machine);
        }
        for n in 1..=edge {
            let ip = Ipv4Addr::new(127, 0, net, 10 + n as u8);
            let command = "target/release/dotterelpin-platform --settings SETTINGS --roles gateway \
                           --retry-ratio 0.2 --retry-extra 52 --retry-window 10 --grace 8";
            let machine = fleet.machine(&format!("edge-{n}"), ip, command, &seeds, n);
            fleet.edge.push(machine);
        }
        fleet
    }

    fn machine(
        &self,
        name: &str,
        ip: Ipv4Addr,
        command: &str,
        seeds: &[String],
        n: usize,
    ) -> Machine {
        let folder = self.folder.join(name);
        fs::create_dir_all(&folder).expect("folder of a machine");
        let settings = folder.join("settings.toml");
        let words = command.split_whitespace().map(|word| match word {
            "SETTINGS" => settings.display().to_string(),
            _ => word.to_string(),
        });
        let words = words.collect();
        let zone = ["brno-a", "brno-b", "zlin-c"][(n - 1) % 3];
        let ports = self.ports;
        let mut text = format!(
            "name = \"{name}\"\ndomain = \"{zone}\"\nlisten = \"{ip}:{}\"\nmembers = \"{}\"\n\
             members_port = \"{}\"\nkeys = \"target/fleet-key\"\nlosses = \"1\"\n\
             bootstrap = \"true\"\n",
            ports.internal,
            seeds.join(","),
            ports.internal
        );
        if name.starts_with("core") {
            let data = folder.join("data");
            text += &format!(
                "data = \"{}\"\napi = \"{ip}:{}\"\nmemory_mb = 256\nmax_fds = 4096\n",
                data.display(),
                ports.control
            );
        } else {
            text += &format!(
                "callers = \"{ip}:{}\"\npages = \"{ip}:{}\"\nmemory_mb = 110\nmax_fds = 4100\n",
                ports.frontend, ports.ready
            );
        }
        fs::write(&settings, text).expect("settings");
        Machine { name: name.into(), ip, folder, words, child: None, exits: 0 }
    }

    pub fn start_all(&mut self) {
        for machine in self.core.iter_mut().chain(&mut self.edge) {
            machine.start();
        }
    }

    /// The addresses of the control plane, in order.
    pub fn control(&self) -> Vec<SocketAddr> {
        let port = self.ports.control;
        self.core.iter().map(|m| SocketAddr::new(IpAddr::V4(m.ip), port)).collect()
    }

    /// Sends an operator's call to the machines in turn until it has a clear answer; an unclear one is
    /// sent again. Returns the answer and the machine that gave it.
    pub fn operate(
        &self,
        method: &str,
        path: &str,
        body: &[u8],
        limit: Duration,
    ) -> Option<(Message, SocketAddr)> {
        let begin = Instant::now();
        let mut pause = Duration::from_millis(50);
        loop {
            for to in self.control() {
                let answer = http::call(to, method, path, body, Duration::from_secs(1));
                if let Ok(answer) = answer {
                    let status = answer.status();
                    if status < 500 && status != 408 && status != 429 {
                        return Some((answer, to));
                    }
                }
                if begin.elapsed() >= limit {
                    return None;
                }
            }
            std::thread::sleep(pause);
            pause = (pause * 2).min(Duration::from_millis(500));
        }
    }

    /// Sends a configuration until it is acknowledged; returns whether it was in time.
    pub fn publish(&self, record: &Record, config: &str, limit: Duration) -> bool {
        let begin = Instant::now();
        match self.operate("POST", "/config/replace", config.as_bytes(), limit) {
            Some((answer, to)) if answer.status() == 200 => {
                let (bytes, took) = (config.len(), http::ms(begin));
                record.line(&format!("acknowledged by {to} after {took} ms: {bytes} bytes"));
                true
            }
            Some((answer, _)) => {
                record.line(&format!("refused: {} {}", answer.line, answer.text()));
                false
            }
            None => {
                record.line(&format!("not acknowledged within {} ms", http::ms(begin)));
                false
            }
        }
    }

    /// Reads the configuration back; returns its version.
    pub fn describe(&self, limit: Duration) -> Option<u64> {
        let (answer, _) = self.operate("GET", "/config/describe", b"", limit)?;
        (answer.status() == 200).then(|| version(&answer.text())).flatten()
    }

    /// Waits until an edge machine says that it is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let begin = Instant::now();
        self.edge.iter().all(|m| {
            let to = SocketAddr::new(IpAddr::V4(m.ip), self.ports.ready);
            while begin.elapsed() < limit {
                let answer = http::call(to, "GET", "/readyz", b"", Duration::from_secs(1));
                if answer.is_ok_and(|a| a.status() == 200) {
                    return true;
                }
                std::thread::sleep(Duration::from_millis(50));
            }
            false
        })
    }

    /// Ends all processes and removes the folder.
    pub fn end(&mut self) {
        for machine in self.core.iter_mut().chain(&mut self.edge) {
            machine.kill();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns the version in the text of a configuration.
pub fn version(text: &str) -> Option<u64> {
    let rest = text.split("\"version\":").nth(1)?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}

impl Machine {
    pub fn start(&mut self) {
        let log = OpenOptions::new().create(true).append(true).open(self.log()).expect("log");
        let mut command = Command::new(&self.words[0]);
        command.args(&self.words[1..]).stdin(Stdio::null());
        command.stdout(log.try_clone().expect("log")).stderr(log);
        self.child = Some(command.spawn().expect("start; run the users' build first"));
    }

    pub fn log(&self) -> PathBuf {
        self.folder.join("log")
    }

    pub fn data(&self) -> PathBuf {
        self.folder.join("data")
    }

    /// SIGKILL; the files stay as they are.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Sends a signal such as `-STOP`.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("kill").args([signal, &child.id().to_string()]).status();
        }
    }

    /// SIGKILL without a wait for the end.
    pub fn strike(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
        }
    }

    /// SIGTERM, and SIGKILL after the grace period.
    pub fn stop(&mut self) {
        let Some(mut child) = self.child.take() else { return };
        let _ = Command::new("kill").args(["-TERM", &child.id().to_string()]).status();
        let begin = Instant::now();
        while begin.elapsed() < Duration::from_secs(8) {
            if child.try_wait().is_ok_and(|s| s.is_some()) {
                return;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        let _ = child.kill();
        let _ = child.wait();
    }

    /// Loses the disk: the next start finds an empty folder, and `bootstrap` is false.
    pub fn wipe(&mut self) {
        let _ = fs::remove_dir_all(self.data());
        self.no_bootstrap();
    }

    /// The settings of every later start say that the system does not start for the first time.
    pub fn no_bootstrap(&self) {
        let path = self.folder.join("settings.toml");
        let text = fs::read_to_string(&path).expect("settings");
        fs::write(path, text.replace("bootstrap = \"true\"", "bootstrap = \"false\""))
            .expect("settings");
    }

    /// Starts the process again if it has ended by itself, as the platform does.
    pub fn revive(&mut self, record: &Record) {
        let Some(child) = &mut self.child else { return };
        let Ok(Some(status)) = child.try_wait() else { return };
        self.exits += 1;
        let log = fs::read_to_string(self.log()).unwrap_or_default();
        let folder = self.folder.display().to_string();
        let last = log.lines().next_back().unwrap_or("").replace(&folder, &self.name);
        record.line(&format!("{} ended by itself ({status}): {last}", self.name));
        self.start();
    }
}

/// Returns whether a path exists.
pub fn exists(path: &Path) -> bool {
    fs::metadata(path).is_ok()
}
