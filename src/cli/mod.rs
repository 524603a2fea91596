//! The command lines of the daemon and the tool, and the settings that they come to.

pub mod checker;
pub mod daemon;
pub mod settings;
pub mod start;
pub mod tool;
