//! Dotterelpin routes requests to separate prefill and decode pools and to plain services.
//!
//! Each role of the system is a plain state machine behind [`role::Role`]: it receives the present
//! time and one input, and returns outputs that a shell of threads and sockets executes.

pub mod agent;
pub mod api;
pub mod cli;
pub mod control;
pub mod entry;
pub mod gateway;
pub mod h1;
pub mod link;
pub mod model;
pub mod registry;
pub mod report;
pub mod role;
pub mod routes;
pub mod shutdown;
