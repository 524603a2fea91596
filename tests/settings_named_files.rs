//! Settings that were refused for a file that they name are taken once that file can be read.

mod common;

use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use common::{Fleet, free_tcp, free_udp};
use dotterelpin::cli::reload::{Reading, Reloader};
use dotterelpin::cli::settings::DaemonArgs;
use dotterelpin::cli::source::Source;

/// Returns the settings of an entry that names a control member and a file of tenants.
fn settings(folder: &Path, member: SocketAddr, tenants: &Path) -> String {
    let (callers, listen) = (free_tcp().unwrap(), free_udp().unwrap());
    format!(
        "roles = 'entry'\nname = 'entry-0'\ndomain = 'brno-a'\nlisten = '{listen}'\n\
         keys = '{}'\ncallers = '{callers}'\ntenants = '{}'\nmembers = ['{member}']\n",
        folder.join("keys").display(),
        tenants.display(),
    )
}

/// Replaces the file of tenants by one that doesn't exist, names another member, and lets the settings
/// be read; returns them with the path of the missing file.
fn refused(fleet: &Fleet) -> (Reloader, SocketAddr, PathBuf) {
    let (first, second) = (free_udp().unwrap(), free_udp().unwrap());
    let file = fleet.folder.join("entry.toml");
    let text = settings(&fleet.folder, first, &fleet.folder.join("tenants"));
    std::fs::write(&file, &text).unwrap();
    let flags = DaemonArgs { settings: Some(file.display().to_string()), ..DaemonArgs::default() };
    let mut reloader = Reloader::new(Source::new(flags), text).unwrap();
    assert_eq!(reloader.read(), Reading::Same);
    let missing = fleet.folder.join("tenants-2");
    std::fs::write(&file, settings(&fleet.folder, second, &missing)).unwrap();
    assert!(matches!(reloader.read(), Reading::Invalid(_)));
    (reloader, second, missing)
}

#[test]
fn settings_are_taken_when_the_file_that_they_name_comes_later() {
    let fleet = Fleet::new(1).unwrap();
    let (mut reloader, member, missing) = refused(&fleet);
    std::fs::copy(fleet.folder.join("tenants"), missing).unwrap();
    let reading = reloader.read();
    let Reading::Changed { members, .. } = reading else { panic!("{reading:?}") };
    assert_eq!(members, Some(vec![member]));
    assert_eq!(reloader.read(), Reading::Same);
}

#[test]
fn file_that_is_still_missing_is_reported_once() {
    let fleet = Fleet::new(1).unwrap();
    let (mut reloader, ..) = refused(&fleet);
    assert_eq!(reloader.read(), Reading::Same);
}
