//! Failures of the command line.

use quick_error::quick_error;

use geranium_net::ServerError;

quick_error! {
    /// Failure of the command line.
    #[derive(Debug)]
    pub enum CliError {
        /// No stand-in is named, or one that does not exist.
        UnknownCommand(name: String) {
            display("command {:?} does not exist; platform, engine and service do", name)
        }
        /// A flag is missing or its value is not valid.
        Flag(err: pico_args::Error) {
            display("{}", err)
            source(err)
            from()
        }
        /// An argument is not known.
        UnknownArgument(text: String) {
            display("argument {:?} is not known", text)
        }
        /// The initial keys cannot be read.
        SeedFile(path: String, detail: String) {
            display("seed file {:?} cannot be used: {}", path, detail)
        }
        /// A listener did not start.
        Server(err: ServerError) {
            display("{}", err)
            source(err)
            from()
        }
        /// The process cannot wait for signals.
        Signal(err: std::io::Error) {
            display("cannot wait for signals: {}", err)
            source(err)
        }
    }
}
