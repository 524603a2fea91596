//! Measures how long streams wait for their first event while a service has two software versions, with
//! the origins of streams kept in memory alone and on the members' disks, too.
//!
//! `cargo bench --bench origins`. Three control members, a gateway and stand-ins of endpoints run in
//! this process, over real sockets; a sync of the members' disks takes 5 ms more than on this machine.

#[path = "../tests/gateway_fixture/mod.rs"]
mod gateway_fixture;

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use dotterelpin::control::disk::origins::{OriginFiles, OriginWriter};
use dotterelpin::control::disk::{self, DataFile, DataFolder, Disk, NewMember, SystemFolder};
use dotterelpin::control::replica::{MemberId, ReplicaSettings};
use dotterelpin::control::routing::Document;
use dotterelpin::control::state::Command;
use dotterelpin::control::{Control, ControlSettings, DiskInput};
use dotterelpin::gateway::{Gateway, GatewaySettings};
use dotterelpin::h1::{HttpDriver, Listener, Purpose};
use dotterelpin::link::message::{ControlRequest, Envelope, Request};
use dotterelpin::link::tls::{Identity, make_keys};
use dotterelpin::link::{Link, LinkAction, LinkEvent, LinkHandle, Route, Sink};
use dotterelpin::model::{BootId, EndpointKind, EndpointState, ExchangeId, Timestamp};
use dotterelpin::registry::FollowerSettings;
use dotterelpin::report::metrics::Metrics;
use dotterelpin::role::Driver;
use dotterelpin::routes::{RawRoute, RawTable, Repeat};
use eyre::{ensure, eyre};
use gateway_fixture::{HOST, PLAIN, budget_terms, endpoint, protocol, route, table};
use hdrhistogram::Histogram;

const MEMBERS: usize = 3;
/// Streams per second.
const RATES: [u64; 2] = [100, 1_000];
/// How long streams are begun at each rate.
const RATE_DURATION: Duration = Duration::from_secs(10);
/// Threads that begin streams.
const SENDERS: u64 = 32;
/// How much longer a sync takes.
const SYNC_TIME: Duration = Duration::from_millis(5);
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(500);
const READY_TIMEOUT: Duration = Duration::from_secs(20);
const GRACE: Duration = Duration::from_secs(8);

fn main() -> eyre::Result<()> {
    println!(
        "{:<16} {:>9} {:>8} {:>8} {:>8} {:>7} {:>11}",
        "origins", "streams/s", "p50 ms", "p99 ms", "max ms", "failed", "disk bytes"
    );
    for rate in RATES {
        for on_disk in [false, true] {
            measure(rate, on_disk)?;
        }
    }
    Ok(())
}

/// Measures one rate with a fleet of its own.
fn measure(rate: u64, on_disk: bool) -> eyre::Result<()> {
    let name = format!("dotterelpin-origins-{}-{rate}-{on_disk}", std::process::id());
    let folder = std::env::temp_dir().join(name);
    let gateway = start(&folder, on_disk)?;
    let (millis, failed) = send_at(rate, gateway);
    let at = |share: f64| millis.value_at_quantile(share) as f64 / 1e3;
    println!(
        "{:<16} {rate:>9} {:>8.2} {:>8.2} {:>8.2} {failed:>7} {:>11}",
        if on_disk { "memory and disk" } else { "memory" },
        at(0.5),
        at(0.99),
        millis.max() as f64 / 1e3,
        origin_bytes(&folder),
    );
    std::fs::remove_dir_all(&folder)?;
    ensure!(failed == 0, "{failed} streams failed");
    Ok(())
}

/// Returns the size of the origins on the first member's disk.
fn origin_bytes(folder: &Path) -> u64 {
    let size =
        |name| std::fs::metadata(folder.join("member-0").join(name)).map_or(0, |file| file.len());
    size("origins.0") + size("origins.1")
}

/// A folder whose syncs take longer.
struct SlowFolder(SystemFolder);

/// A file of a [`SlowFolder`].
struct SlowFile(Box<dyn DataFile>);

impl Read for SlowFile {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        self.0.read(buffer)
    }
}

impl Write for SlowFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.0.flush()
    }
}

impl DataFile for SlowFile {
    fn length(&self) -> io::Result<u64> {
        self.0.length()
    }

    fn truncate(&mut self, length: u64) -> io::Result<()> {
        self.0.truncate(length)
    }

    fn sync(&mut self) -> io::Result<()> {
        std::thread::sleep(SYNC_TIME);
        self.0.sync()
    }
}

impl DataFolder for SlowFolder {
    fn path(&self, name: &str) -> PathBuf {
        self.0.path(name)
    }

    fn open(&self, name: &str) -> io::Result<Box<dyn DataFile>> {
        Ok(Box::new(SlowFile(self.0.open(name)?)))
    }

    fn create(&self, name: &str) -> io::Result<Box<dyn DataFile>> {
        Ok(Box::new(SlowFile(self.0.create(name)?)))
    }

    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        self.0.read(name)
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.0.rename(from, to)
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.0.remove(name)
    }

    fn sync(&self) -> io::Result<()> {
        std::thread::sleep(SYNC_TIME);
        self.0.sync()
    }
}

/// Starts a fleet and returns the address of its gateway, once it serves both versions.
fn start(folder: &Path, on_disk: bool) -> eyre::Result<SocketAddr> {
    std::fs::create_dir_all(folder)?;
    make_keys(&folder.join("keys"))?;
    let members = free_addresses()?;
    for at in 0..MEMBERS {
        start_member(folder, &members, at, on_disk)?;
    }
    let endpoints =
        [("s1", "v1"), ("s2", "v2")].map(|(name, version)| start_endpoint(name, version));
    announce(folder, &members, endpoints.into_iter().collect::<eyre::Result<_>>()?)?;
    let gateway = start_gateway(folder, &members)?;
    let until = Instant::now() + READY_TIMEOUT;
    while (0..8).any(|n| first_event(&mut None, gateway, &format!("warm-{n}")).is_err()) {
        ensure!(Instant::now() < until, "the gateway is not ready within {READY_TIMEOUT:?}");
        std::thread::sleep(Duration::from_millis(200));
    }
    Ok(gateway)
}

fn free_addresses() -> io::Result<Vec<SocketAddr>> {
    let sockets: Vec<UdpSocket> =
        (0..MEMBERS).map(|_| UdpSocket::bind("127.0.0.1:0")).collect::<io::Result<_>>()?;
    sockets.iter().map(UdpSocket::local_addr).collect()
}

fn bind(folder: &Path, address: SocketAddr) -> eyre::Result<Link> {
    Link::bind(address, Identity::load(&folder.join("keys"))?)
}

fn start_member(
    folder: &Path,
    members: &[SocketAddr],
    at: usize,
    on_disk: bool,
) -> eyre::Result<()> {
    let link = bind(folder, members[at])?;
    let boot = BootId(at as u64 + 1);
    let mut replica = ReplicaSettings::new(members[at], members.to_vec(), boot.0);
    replica.founds = true;
    let data = folder.join(format!("member-{at}"));
    let open = || Ok::<_, io::Error>(Box::new(SlowFolder(SystemFolder::open(&data)?)));
    let (stored, files) = disk::open_folder(open()?, NewMember::new(MemberId(boot.0), &replica))?;
    let settings = ControlSettings {
        name: format!("control-{at}").into(),
        domain: "a".into(),
        boot,
        replica,
        grace: GRACE,
    };
    let mut control = Control::new(settings, stored)?;
    if on_disk {
        let (restored, files) = OriginFiles::open_folder(open()?)?;
        let writer = Box::new(OriginWriter::start(files)?);
        control = control.with_origin_log(Timestamp::from_steady(), restored, writer);
    }
    let driver = Driver::<DiskInput>::new();
    let disk = Disk::start(files, driver.handle())?;
    let sink: Arc<dyn Sink> = Arc::new(driver.handle());
    driver.start("control", control, link.handle(), disk, Arc::new(Metrics::new()?))?;
    let route: Route = Arc::new(move |_| Some(sink.clone()));
    link.start(route)
}

fn streams() -> RawTable {
    let mut all = table();
    all.routes.push(RawRoute { ..route("/tell/", PLAIN, Repeat::ResumableStream, 2) });
    all
}

fn start_gateway(folder: &Path, members: &[SocketAddr]) -> eyre::Result<SocketAddr> {
    let link = bind(folder, "127.0.0.1:0".parse()?)?;
    let listener = Listener { address: "127.0.0.1:0".parse()?, purpose: Purpose::Calls };
    let driver = HttpDriver::bind(&[listener])?;
    let address = driver.local_addr(Purpose::Calls).ok_or_else(|| eyre!("no address"))?;
    let follower = FollowerSettings {
        name: "gateway-0".into(),
        role: "gateway".into(),
        domain: "a".into(),
        boot: BootId(100),
        address: None,
        members: members.to_vec(),
        endpoints: true,
        routes: true,
    };
    let settings = GatewaySettings {
        follower,
        budget: budget_terms(),
        domains: Default::default(),
        grace: GRACE,
    };
    let role = Gateway::new(settings, Box::new(protocol(vec![streams()])));
    driver.start("gateway", role, link.handle(), Arc::new(Metrics::new()?))?;
    link.start(Arc::new(|_| None))?;
    Ok(address)
}

/// Drops all replies.
struct Ignored;

impl Sink for Ignored {
    fn deliver(&self, _: LinkEvent) {}
}

/// Sends requests to all members.
struct Operator {
    link: LinkHandle,
    owner: u64,
    members: Vec<SocketAddr>,
    last: u64,
}

impl Operator {
    fn send(&mut self, request: &ControlRequest) {
        for peer in self.members.clone() {
            self.last += 1;
            let exchange = ExchangeId(self.last);
            let body = Request::Control(request.clone());
            let envelope = Envelope { revised: Default::default(), body };
            self.link.act(LinkAction::Open { owner: self.owner, exchange, peer, envelope });
        }
    }
}

/// Announces endpoints to all members at intervals, and publishes the routing table.
fn announce(
    folder: &Path,
    members: &[SocketAddr],
    endpoints: Vec<EndpointState>,
) -> eyre::Result<()> {
    let link = bind(folder, "127.0.0.1:0".parse()?)?;
    let handle = link.handle();
    let owner = handle.register(Arc::new(Ignored));
    link.start(Arc::new(|_| None))?;
    let mut operator = Operator { link: handle, owner, members: members.to_vec(), last: 0 };
    let document = Document { version: 1, text: (*b"0").into() };
    std::thread::spawn(move || {
        loop {
            operator.send(&ControlRequest::Propose(Command::Publish(document.clone())));
            for state in &endpoints {
                operator.send(&ControlRequest::Announce(Box::new(state.clone())));
            }
            std::thread::sleep(ANNOUNCE_INTERVAL);
        }
    });
    Ok(())
}

/// Starts a stand-in that answers each request with a stream of one event.
fn start_endpoint(name: &str, version: &str) -> eyre::Result<EndpointState> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let mut state = endpoint(name, EndpointKind::Service, PLAIN);
    state.address = listener.local_addr()?;
    state.url = format!("http://{}", state.address).into();
    state.capacity.slots = 1_000;
    state.software = version.into();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || serve(stream));
        }
    });
    Ok(state)
}

fn serve(stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut requests = BufReader::new(stream.try_clone()?);
    let mut answers = stream;
    while let Some(id) = read_head(&mut requests)? {
        let answer = format!(
            "HTTP/1.1 200 OK\r\nCall-Id: {id}\r\nSignature: 1\r\nContent-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\n0\r\n\r\n"
        );
        answers.write_all(answer.as_bytes())?;
    }
    Ok(())
}

/// Reads a head up to its empty line, if there is one; returns the id of its call.
fn read_head(from: &mut impl BufRead) -> io::Result<Option<String>> {
    let (mut line, mut id) = (String::new(), String::new());
    loop {
        line.clear();
        if from.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        if line == "\r\n" {
            return Ok(Some(id));
        }
        if let Some(value) = line.strip_prefix("Call-Id: ") {
            id = value.trim().into();
        }
    }
}

/// Begins streams at a rate; returns the microseconds until their first events, and how many failed.
fn send_at(rate: u64, gateway: SocketAddr) -> (Histogram<u64>, u64) {
    let micros = Mutex::new(Histogram::new(3).unwrap());
    let (next, failed) = (AtomicU64::new(0), AtomicU64::new(0));
    let begin = Instant::now();
    let count = rate * RATE_DURATION.as_secs();
    std::thread::scope(|scope| {
        for _ in 0..SENDERS {
            scope.spawn(|| {
                let mut conn = None;
                loop {
                    let number = next.fetch_add(1, Ordering::SeqCst);
                    if number >= count {
                        return;
                    }
                    let due = begin + Duration::from_secs_f64(number as f64 / rate as f64);
                    std::thread::sleep(due.saturating_duration_since(Instant::now()));
                    match first_event(&mut conn, gateway, &format!("c-{number}")) {
                        Ok(at) => {
                            let waited = (at - due).as_micros() as u64;
                            micros.lock().unwrap().record(waited).unwrap();
                        }
                        Err(_) => {
                            conn = None;
                            failed.fetch_add(1, Ordering::SeqCst);
                        }
                    }
                }
            });
        }
    });
    (micros.into_inner().unwrap(), failed.into_inner())
}

/// Begins a stream over a connection, which is opened if there is none; returns when its first event
/// arrived, after its end.
fn first_event(
    conn: &mut Option<BufReader<TcpStream>>,
    gateway: SocketAddr,
    id: &str,
) -> eyre::Result<Instant> {
    if conn.is_none() {
        let stream = TcpStream::connect(gateway)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        *conn = Some(BufReader::new(stream));
    }
    let conn = conn.as_mut().ok_or_else(|| eyre!("no connection"))?;
    let head = format!(
        "GET /tell/a HTTP/1.1\r\nHost: {HOST}\r\nCall-Id: {id}\r\nPatience-Ms: 5000\r\n\r\n"
    );
    conn.get_mut().write_all(head.as_bytes())?;
    let mut status = String::new();
    conn.read_line(&mut status)?;
    ensure!(status.starts_with("HTTP/1.1 200"), "{status}");
    ensure!(read_head(conn)?.is_some(), "no head");
    let mut first = None;
    let mut line = String::new();
    loop {
        line.clear();
        ensure!(conn.read_line(&mut line)? > 0, "the answer is cut");
        if line.starts_with("data:") {
            first.get_or_insert_with(Instant::now);
        }
        if line == "0\r\n" {
            break;
        }
    }
    conn.read_line(&mut line)?;
    first.ok_or_else(|| eyre!("no event"))
}
