//! Runs stand-ins of the platform for one failure domain and writes settings files for entry hosts that use them.
//!
//! `cargo run --release --example standin -- --hosts 3 --out target/by-hand`

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::Bpaf;
use primrosestack::settings::{PeerSettings, Settings};
use primrosestack_core::capacity::Resources;
use primrosestack_standin::platform::{Platform, PlatformOptions};
use smol_str::{SmolStr, format_smolstr};
use snafu::{ResultExt, Snafu};

const FRONT_PORT: u16 = 7_100;
const ADMIN_PORT: u16 = 7_200;
const PEER_PORT: u16 = 7_300;

/// Runs stand-ins of the platform until it is interrupted
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct Options {
    /// Number of entry hosts to write settings for
    #[bpaf(argument("COUNT"), fallback(3), display_fallback)]
    hosts: u16,
    /// Number of backend servers
    #[bpaf(argument("COUNT"), fallback(12), display_fallback)]
    servers: u32,
    /// Name of the failure domain
    #[bpaf(
        argument("NAME"),
        fallback(SmolStr::new_static("poa")),
        display_fallback
    )]
    failure_domain: SmolStr,
    /// Folder for the settings files
    #[bpaf(argument("DIR"))]
    out: PathBuf,
}

#[derive(Debug, Snafu)]
enum StandinError {
    #[snafu(display("cannot start the stand-ins"))]
    Start { source: std::io::Error },
    #[snafu(display("cannot write {}", path.display()))]
    Write {
        path: PathBuf,
        source: std::io::Error,
    },
    #[snafu(display("cannot encode the settings"))]
    Encode { source: serde_json::Error },
}

fn local(port: u16) -> SocketAddr {
    ([127, 0, 0, 1], port).into()
}

fn write_settings(options: &Options, platform: &Platform) -> Result<(), StandinError> {
    std::fs::create_dir_all(&options.out).context(WriteSnafu { path: &options.out })?;
    let domain = &options.failure_domain;
    let name = |number: u16| format_smolstr!("{domain}-entry-{number}");
    let peers = (0..options.hosts).map(|number| PeerSettings {
        name: name(number),
        failure_domain: domain.clone(),
        address: local(PEER_PORT + number),
    });
    let peers: Vec<PeerSettings> = peers.collect();
    for number in 0..options.hosts {
        let settings = Settings {
            name: name(number),
            failure_domain: domain.clone(),
            front_address: local(FRONT_PORT + number),
            admin_address: local(ADMIN_PORT + number),
            peer_address: local(PEER_PORT + number),
            store_address: platform.store_address,
            host_list_address: platform.host_list_address,
            peers: peers.clone(),
            tls: None,
            tokens_file: None,
            ..Settings::example()
        };
        let text = serde_json::to_string_pretty(&settings).context(EncodeSnafu)?;
        let path = options.out.join(format!("{}.jsonc", settings.name));
        std::fs::write(&path, text).context(WriteSnafu { path: &path })?;
        println!("primrosestack serve --settings {}", path.display());
    }
    Ok(())
}

async fn run(options: &Options) -> Result<(), StandinError> {
    let platform = PlatformOptions {
        failure_domains: vec![options.failure_domain.clone()],
        servers_per_domain: options.servers,
        servers_per_rack: 8,
        resources: Resources {
            millicores: 64_000,
            memory_mib: 250_000,
            accelerators: 0,
        },
        service_ms: 20,
        request_size: Resources {
            millicores: 2_000,
            memory_mib: 4_096,
            accelerators: 0,
        },
    };
    let platform = Platform::bind(&platform).await.context(StartSnafu)?;
    write_settings(options, &platform)?;
    println!("stand-ins run until interrupted");
    tokio::signal::ctrl_c().await.context(StartSnafu)
}

fn main() -> ExitCode {
    let options = options().run();
    let result = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .context(StartSnafu)
        .and_then(|runtime| runtime.block_on(run(&options)));
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
