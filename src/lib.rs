//! Dotterelpin routes requests to separate prefill and decode pools and to plain services.
//!
//! Every role of the system is a plain state machine behind [`role::Role`]: it takes the present
//! time and one input, and returns outputs for a shell of threads and sockets to carry out.

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
