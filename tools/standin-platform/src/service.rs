//! Start-up: reads the first revision and binds the listeners.

use std::{cell::RefCell, collections::BTreeMap, fs, io, net::SocketAddr, path::Path, rc::Rc};

use compio::{net::TcpListener, runtime::Runtime};
use futures_util::future::join;
use serde::Serialize;
use standin_http::{Gate, Reservation};

use crate::{
    Instance, Options,
    control::{self, InstanceList, check_name},
    platform,
    state::{File, Snapshot, State, VALUE_LIMIT},
};

/// Addresses on which the program listens.
#[derive(Debug, Clone, Serialize)]
pub struct Bound {
    /// Configuration service and instance list.
    pub platform: SocketAddr,
    /// Control endpoint.
    pub control: SocketAddr,
}

/// Reads the first revision, binds both listeners, passes their addresses to `bound`, and
/// serves indefinitely.
///
/// # Errors
///
/// Fails if a file cannot be read or parsed, has an invalid name or is larger than 1 MB, or
/// if an address cannot be bound.
pub fn serve(options: Options, bound: impl FnOnce(Bound)) -> io::Result<()> {
    let files = options
        .dir
        .as_deref()
        .map_or(Ok(BTreeMap::new()), read_dir)?;
    let first = Snapshot {
        revision: options.revision,
        files,
    };
    let instances = options
        .instances
        .as_deref()
        .map_or(Ok(Vec::new()), read_instances)?;
    let state = Rc::new(RefCell::new(State::new(
        first,
        instances,
        options.reads_per_s,
    )));
    let gate = Gate::default();
    Runtime::new()?.block_on(async {
        let reservation = Reservation::new(options.listen).await?;
        let listener = TcpListener::bind(reservation.address()).await?;
        let control_listener = TcpListener::bind(options.control).await?;
        bound(Bound {
            platform: listener.local_addr()?,
            control: control_listener.local_addr()?,
        });
        let served = state.clone();
        let platform = standin_http::serve_gated(listener, gate.clone(), move |request| {
            platform::handle(served.clone(), request)
        });
        let control = standin_http::serve(control_listener, move |request| {
            std::future::ready(control::handle(&state, &gate, &request))
        });
        join(platform, control).await.0
    })
}

fn invalid_data(path: &Path, cause: impl std::fmt::Display) -> io::Error {
    let text = format!("{}: {cause}", path.display());
    io::Error::new(io::ErrorKind::InvalidData, text)
}

fn read_dir(dir: &Path) -> io::Result<BTreeMap<String, File>> {
    let mut files = BTreeMap::new();
    for entry in fs::read_dir(dir).map_err(|e| invalid_data(dir, e))? {
        let path = entry?.path();
        if !path.is_file() {
            continue;
        }
        let name = path.file_name().unwrap_or_default().to_string_lossy();
        check_name(&name).map_err(|e| invalid_data(&path, e))?;
        let bytes = fs::read(&path).map_err(|e| invalid_data(&path, e))?;
        if bytes.len() > VALUE_LIMIT {
            return Err(invalid_data(
                &path,
                format!("larger than {VALUE_LIMIT} bytes"),
            ));
        }
        files.insert(name.into_owned(), File::new(bytes.into()));
    }
    Ok(files)
}

fn read_instances(path: &Path) -> io::Result<Vec<Instance>> {
    let text = fs::read_to_string(path).map_err(|e| invalid_data(path, e))?;
    let list: InstanceList = serde_json::from_str(&text).map_err(|e| invalid_data(path, e))?;
    Ok(list.instances)
}
