//! What tests over real sockets share: a link, and the memory of the test's process.

#![allow(dead_code)]

pub mod stopper;

use std::sync::{Arc, Mutex};

use dotterelpin::link::tls::{Identity, make_keys};
use dotterelpin::link::{Link, LinkHandle};

/// Returns the link that all drivers of a test program share; no role in these programs uses it.
pub fn link() -> LinkHandle {
    static LINK: Mutex<Option<Arc<Link>>> = Mutex::new(None);
    let mut link = LINK.lock().unwrap();
    let created = link.get_or_insert_with(|| {
        let name = format!("dotterelpin-loopback-{}", std::process::id());
        let folder = std::env::temp_dir().join(name);
        make_keys(&folder).unwrap();
        let identity = Identity::load(&folder).unwrap();
        std::fs::remove_dir_all(&folder).unwrap();
        Arc::new(Link::bind("127.0.0.1:0".parse().unwrap(), identity).unwrap())
    });
    created.handle()
}

/// Returns the resident memory of this process in bytes.
pub fn memory() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).unwrap();
    line.split_whitespace().nth(1).unwrap().parse::<u64>().unwrap() * 1_024
}
