//! The command lines of the daemon and the tool, and the checked settings of the daemon.

pub mod checker;
pub mod daemon;
pub mod settings;
pub mod start;
pub mod tool;
