//! The command lines of the daemon and the tool, and the checked settings of the daemon.

mod args;
pub mod checker;
pub mod daemon;
mod handles;
pub mod reload;
pub mod settings;
pub mod source;
pub mod start;
pub mod tool;
