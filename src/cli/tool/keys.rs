//! Keys of a fleet and credentials of tenants.

use argh::FromArgs;
use eyre::eyre;
use serde_json::json;

use super::{Failure, ToolError};
use crate::entry::check::credential_hash;
use crate::link::tls::{make_keys, random_credential};

/// Creates a fleet key in a new folder, or a credential for a tenant.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "keys")]
pub struct KeysArgs {
    /// a folder for a new fleet key, or: tenant NAME
    #[argh(positional)]
    pub what: Vec<String>,
}

/// Runs the subcommand.
pub fn run(args: &KeysArgs, json: bool) -> Result<(), ToolError> {
    let words: Vec<&str> = args.what.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["tenant", name] => print_tenant(name, json),
        [folder] => {
            make_keys(folder.as_ref())?;
            if json {
                println!("{}", json!({ "folder": folder }));
            } else {
                println!(
                    "{folder}: ca.pem and process.pem, .key for processes; operator.pem, .key"
                );
                println!("next: give operator.key to operators alone, process.key to processes");
            }
            Ok(())
        }
        _ => Err(usage("expected keys FOLDER, or keys tenant NAME")),
    }
}

fn print_tenant(name: &str, json: bool) -> Result<(), ToolError> {
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "._-".contains(c);
    if name.is_empty() || !name.chars().all(is_allowed) {
        return Err(usage(
            "the name of a tenant may have only letters, digits, dots, hyphens and underscores",
        ));
    }
    let credential = random_credential()?;
    let line = format!("{name} {}", credential_hash(&credential));
    if json {
        println!("{}", json!({ "tenant": name, "credential": credential, "line": line }));
        return Ok(());
    }
    println!("credential for the tenant, shown only now: {credential}");
    println!("line for the file of --tenants: {line}");
    Ok(())
}

fn usage(text: &str) -> ToolError {
    ToolError::new(Failure::Usage, eyre!("{text}"))
}
