//! Datagrams of strangers at the UDP port between processes, and handshakes that never end: the
//! process lives, its memory stays within a bound, and afterwards the tool gets an answer.

mod common;

use std::collections::BTreeMap;
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

use common::{Fleet, Process};
use dotterelpin::link::tls::{Identity, make_keys};

/// How many handshakes are begun.
const HANDSHAKES: usize = 1_500;
/// How many addresses send them.
const SENDERS: usize = 50;
const CROWD_TIME: Duration = Duration::from_millis(2_500);
const CAPTURE_TIME: Duration = Duration::from_millis(800);
/// The most memory that the handshakes may add.
const MAX_GROWTH: usize = 24 << 20;
const KB: usize = 1_024;
/// Where a datagram has the length of the id of its connection.
const ID_LENGTH: usize = 5;

fn peak_memory(process: &Process) -> usize {
    let text = std::fs::read_to_string(format!("/proc/{}/status", process.id())).unwrap();
    let line = text.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let number = line.and_then(|line| line.trim().strip_suffix(" kB"));
    number.expect("the process has ended").parse::<usize>().unwrap() * KB
}

/// Returns the first datagrams of handshakes, which a client with keys of its own begins.
fn first_datagrams(folder: &std::path::Path) -> Vec<Vec<u8>> {
    make_keys(folder).unwrap();
    let config = Identity::load(folder).unwrap().client_config().unwrap();
    let capture = UdpSocket::bind("127.0.0.1:0").unwrap();
    capture.set_read_timeout(Some(CAPTURE_TIME)).unwrap();
    let target = capture.local_addr().unwrap();
    let reader = std::thread::spawn(move || {
        let mut found: BTreeMap<Vec<u8>, Vec<u8>> = BTreeMap::new();
        let mut buffer = [0; 2_048];
        while let Ok(count) = capture.recv(&mut buffer) {
            let datagram = &buffer[..count];
            let length = usize::from(datagram[ID_LENGTH]);
            let id = &datagram[ID_LENGTH + 1..ID_LENGTH + 1 + length];
            found.entry(id.to_vec()).or_insert_with(|| datagram.to_vec());
            if found.len() == HANDSHAKES {
                break;
            }
        }
        found.into_values().collect()
    });
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let endpoint = quinn::Endpoint::client("127.0.0.1:0".parse().unwrap()).unwrap();
        let mut begun = Vec::new();
        for number in 0..HANDSHAKES {
            begun.push(endpoint.connect_with(config.clone(), target, "dotterelpin").unwrap());
            if number % 50 == 0 {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
        tokio::time::sleep(CAPTURE_TIME / 2).await;
    });
    reader.join().unwrap()
}

/// Sends datagrams from several addresses, again and again; answers are not read.
fn send_all(target: SocketAddr, datagrams: &[Vec<u8>]) {
    let bind = |_| UdpSocket::bind("127.0.0.1:0").unwrap();
    let senders: Vec<UdpSocket> = (0..SENDERS).map(bind).collect();
    let begin = Instant::now();
    while begin.elapsed() < CROWD_TIME {
        for (number, datagram) in datagrams.iter().enumerate() {
            let _ = senders[number % SENDERS].send_to(datagram, target);
            if number % 100 == 0 {
                std::thread::sleep(Duration::from_millis(2));
            }
        }
    }
}

/// Guards against memory that is held for handshakes of strangers.
#[test]
fn handshakes_without_end_take_all_memory() {
    let fleet = Fleet::new(1).unwrap();
    common::wait_for(Duration::from_secs(20), || fleet.tool_text(&["status"])).unwrap();
    let datagrams = first_datagrams(&fleet.folder.join("strangers"));
    assert!(datagrams.len() > HANDSHAKES / 2, "only {} handshakes were begun", datagrams.len());
    let before = peak_memory(&fleet.controls[0]);
    send_all(fleet.members[0], &datagrams);
    let growth = peak_memory(&fleet.controls[0]) - before;
    println!("before {} kB, growth {} kB", before >> 10, growth >> 10);
    assert!(growth < MAX_GROWTH, "{} handshakes took up {} kB", datagrams.len(), growth >> 10);
    common::wait_for(Duration::from_secs(20), || fleet.tool_text(&["status"])).unwrap();
}

/// Guards against a process that ends or hangs for datagrams that are no handshakes.
#[test]
fn datagrams_without_meaning_end_a_process() {
    let fleet = Fleet::new(1).unwrap();
    common::wait_for(Duration::from_secs(20), || fleet.tool_text(&["status"])).unwrap();
    let before = peak_memory(&fleet.controls[0]);
    let pattern = |number: usize| {
        let mut datagram = vec![(number * 7) as u8; 1 + number * 13 % 1_400];
        datagram[0] = [0xc3, 0x40, 0xff, 0x00][number % 4];
        datagram
    };
    let datagrams: Vec<Vec<u8>> = (0..HANDSHAKES).map(pattern).collect();
    send_all(fleet.members[0], &datagrams);
    let growth = peak_memory(&fleet.controls[0]) - before;
    assert!(growth < MAX_GROWTH, "datagrams took up {} kB", growth >> 10);
    common::wait_for(Duration::from_secs(20), || fleet.tool_text(&["status"])).unwrap();
}
