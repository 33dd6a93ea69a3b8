//! The arguments of `olivelatchctl`: one definition of each flag, for help and completions alike. The `///` texts here are
//! what `--help` prints, so they stay in the words of the documentation; notes for readers of the code are `//`.

use std::ffi::OsString;
use std::io;
use std::path::PathBuf;

use clap::{Args, CommandFactory, Parser, Subcommand, ValueEnum};
use clap_complete::Shell;

const AFTER_HELP: &str = "\
Examples:
  olivelatchctl demo                                 a region, a mixed batch, a controller killed in the middle
  olivelatchctl up                                   a region on this machine, until Ctrl-C
  olivelatchctl submit --tasks 10 -- sh -c 'echo $OLIVELATCH_TASK'
  olivelatchctl submit jobs.hcl --wait
  olivelatchctl explain job-000412                   why it is where it is
  olivelatchctl list --state live --json
  olivelatchctl graph submit examples/billing.hcl --wait
  olivelatchctl config set team/default --limit-cpus 8 --wait
  olivelatchctl scale run examples/scale/small.hcl --out /tmp/small

Exit codes:
  0  fine                                    4  refused: the request is wrong, or can never run
  1  not found, or another failure           5  wait: a job was withdrawn, a run failed
  2  wrong arguments or files                6  wait: not done in time
  3  no controller answered in time";

#[derive(Debug, Parser)]
#[command(name = "olivelatchctl", version, about = "Submit, inspect and explain jobs; run a region on one machine", after_help = AFTER_HELP)]
pub struct Cli {
    #[command(flatten)]
    pub common: Common,
    #[command(subcommand)]
    pub command: Command,
}

#[derive(Debug, Clone, Args)]
pub struct Common {
    /// File with contexts (HCL); else the variable LATCH_CONTEXTS, ./.latch/contexts.hcl, ~/.config/latch/contexts.hcl
    #[arg(long, global = true, value_name = "FILE")]
    pub contexts: Option<PathBuf>,
    /// Which context of the file
    #[arg(long, global = true, value_name = "NAME")]
    pub context: Option<String>,
    /// One deadline for all tries of a request, in seconds
    #[arg(long, global = true, value_name = "SECONDS", default_value_t = 15.0)]
    pub deadline: f64,
    /// JSON for programs (docs/client.md) instead of tables
    #[arg(long, global = true)]
    pub json: bool,
}

#[derive(Debug, Subcommand)]
pub enum Command {
    /// Submit jobs from files (HCL or JSON), or one from flags
    Submit(Submit),
    /// List jobs, ended ones too
    List(List),
    /// Show a job and its tasks
    Show {
        id: String,
        /// Tasks shown at most
        #[arg(long, default_value_t = 50)]
        tasks: usize,
    },
    /// Say why a job, or one of its tasks, is where it is
    Explain {
        id: String,
        /// Only this task
        #[arg(long)]
        task: Option<u32>,
    },
    /// Cancel jobs
    Cancel { ids: Vec<String> },
    /// Wait until jobs are over
    Wait {
        ids: Vec<String>,
        /// Give up after so many seconds
        #[arg(long, value_name = "SECONDS")]
        timeout: Option<f64>,
    },
    /// The leader's last decisions on a job
    Events { id: String },
    /// Output of a task's attempts
    Logs {
        id: String,
        #[arg(default_value_t = 0)]
        task: u32,
    },
    /// The controllers, their queues and machines
    Top {
        /// Once, not every two seconds
        #[arg(long)]
        once: bool,
    },
    /// Runs of graphs: submit, show, list, cancel, retry, clear
    #[command(subcommand)]
    Graph(Graph),
    /// Limits and guarantees of teams, changed while the service runs
    #[command(subcommand)]
    Config(Config),
    /// Check job files, and whether the context's controllers answer; nothing is sent to run
    Check { files: Vec<PathBuf> },
    /// Print completions for a shell
    Completions { shell: Shell },
    /// Run a region on this machine: state service, cloud, workers, controllers
    Up(Up),
    /// Show it all in under a minute: a region, a mixed batch, a controller killed in the middle
    Demo(Demo),
    /// Play a plan of the planned size on this machine: real controllers, hollow workers (docs/scale.md)
    #[command(subcommand)]
    Scale(Scale),
    /// A controller, as `olivelatch` itself; `up` starts them so
    #[command(hide = true)]
    Controller(Controller),
}

#[derive(Debug, Subcommand)]
pub enum Graph {
    /// Submit a run of a graph file (docs/flows.md)
    Submit {
        file: PathBuf,
        /// The run's name, instead of the file's. The same name again is the same run
        #[arg(long)]
        run: Option<String>,
        /// A variable of the file, NAME=VALUE; a list is written as JSON
        #[arg(long = "var", value_name = "NAME=VALUE")]
        vars: Vec<String>,
        /// Wait until the run is over
        #[arg(long)]
        wait: bool,
    },
    /// Show a run: its layers, states, evidence, the longest way through it
    Show {
        run: String,
        /// For graphviz
        #[arg(long, conflicts_with = "svg")]
        dot: bool,
        /// A picture
        #[arg(long)]
        svg: bool,
    },
    /// List runs
    List {
        /// Of this graph only
        #[arg(long)]
        graph: Option<String>,
    },
    /// Cancel a run: nothing more of it starts, what runs stops
    Cancel { run: String },
    /// Do over what failed or was cancelled, and all behind it
    Retry {
        run: String,
        #[arg(long)]
        wait: bool,
    },
    /// Do nodes over, and all behind them
    Clear {
        run: String,
        #[arg(required = true)]
        nodes: Vec<String>,
        #[arg(long)]
        wait: bool,
    },
    /// Wait until a run is over
    Wait {
        run: String,
        /// Give up after so many seconds
        #[arg(long, value_name = "SECONDS")]
        timeout: Option<f64>,
    },
    /// Check graph files; nothing is sent
    Check {
        files: Vec<PathBuf>,
        #[arg(long = "var", value_name = "NAME=VALUE")]
        vars: Vec<String>,
    },
}

#[derive(Debug, Subcommand)]
pub enum Config {
    /// Every team: what is set, what holds, whether it is in force
    List,
    /// One entry, like team/NAME
    Get { entry: String },
    /// Change an entry; never above what the platform's settings allow
    Set {
        entry: String,
        /// CPUs that the team may use at most
        #[arg(long, value_name = "CPUS")]
        limit_cpus: Option<f64>,
        /// CPUs that the team is guaranteed
        #[arg(long, value_name = "CPUS")]
        guaranteed_cpus: Option<f64>,
        /// Refuse the change unless the entry is at this version (0: not set)
        #[arg(long, value_name = "VERSION")]
        expected: Option<u64>,
        #[command(flatten)]
        change: Change,
    },
    /// Take an entry back: the platform's settings hold
    Unset {
        entry: String,
        #[command(flatten)]
        change: Change,
    },
    /// Show what a file would change
    Diff {
        file: PathBuf,
        /// In this context; may be repeated
        #[arg(long = "to", value_name = "CONTEXT")]
        to: Vec<String>,
    },
    /// Lay a file down: what it does not name is left as it is
    Apply {
        file: PathBuf,
        /// In this context; may be repeated. Each region's outcome is its own
        #[arg(long = "to", value_name = "CONTEXT")]
        to: Vec<String>,
        /// Only show what would change
        #[arg(long)]
        dry_run: bool,
        #[command(flatten)]
        change: Change,
    },
}

/// Who changes, why, and whether to wait.
#[derive(Debug, Clone, Default, Args)]
pub struct Change {
    /// Wait until it is in force; exit code 6 if it is not within --within, with whom it waits for
    #[arg(long)]
    pub wait: bool,
    #[arg(long, value_name = "SECONDS", default_value_t = 3.0)]
    pub within: f64,
    /// Who changes it; the variable USER if not given
    #[arg(long)]
    pub by: Option<String>,
    /// The reason, kept with the entry
    #[arg(long)]
    pub why: Option<String>,
}

#[derive(Debug, Subcommand)]
pub enum Scale {
    /// Play a plan; exit code 1 if a rule was broken
    Run {
        /// The plan (HCL); examples/scale has some
        plan: PathBuf,
        /// Folder for the report, the logs and the state file
        #[arg(long, value_name = "DIR")]
        out: PathBuf,
        /// error, info or debug, for the controllers' logs
        #[arg(long, default_value = "error")]
        log_level: String,
    },
    /// Check a plan; nothing is started
    Check { plan: PathBuf },
    /// The hollow workers of a zone; `run` starts them so
    #[command(hide = true)]
    Zone { arguments: String },
    /// The state service; `run` starts it so
    #[command(hide = true)]
    State { arguments: String },
}

#[derive(Debug, Clone, Copy, ValueEnum)]
pub enum ShapeArgument {
    Array,
    Gang,
    Service,
}

#[derive(Debug, Clone, Copy, ValueEnum)]
pub enum UrgencyArgument {
    Critical,
    High,
    Normal,
    Low,
}

#[derive(Debug, Args)]
pub struct Submit {
    /// Job files; without any, the job is taken from the flags
    pub files: Vec<PathBuf>,
    /// Wait until all are over
    #[arg(long)]
    pub wait: bool,
    /// The job's id; chosen anew if not given. The same id again is the same submission
    #[arg(long)]
    pub id: Option<String>,
    #[arg(long, default_value = "default")]
    pub team: String,
    #[arg(long, default_value = "work")]
    pub class: String,
    #[arg(long, value_enum, default_value = "array")]
    pub shape: ShapeArgument,
    #[arg(long, value_enum, default_value = "normal")]
    pub urgency: UrgencyArgument,
    #[arg(long, default_value_t = 1)]
    pub tasks: u32,
    /// CPUs of one task
    #[arg(long, default_value_t = 1.0)]
    pub cpus: f64,
    /// Memory of one task, in GB
    #[arg(long, default_value_t = 0.1)]
    pub memory_gb: f64,
    /// Estimated run time of a task, in seconds
    #[arg(long, default_value_t = 10.0)]
    pub guess_s: f64,
    /// When the job should be complete, in seconds from now
    #[arg(long)]
    pub due_s: Option<f64>,
    /// A variable of the command, NAME=VALUE
    #[arg(long, value_name = "NAME=VALUE")]
    pub env: Vec<String>,
    /// Where the command starts
    #[arg(long)]
    pub dir: Option<String>,
    /// The command of each task, after --
    #[arg(last = true)]
    pub command: Vec<String>,
}

#[derive(Debug, Args)]
pub struct List {
    /// live, ended, pending, running, done or withdrawn
    #[arg(long)]
    pub state: Option<String>,
    #[arg(long)]
    pub team: Option<String>,
    #[arg(long)]
    pub class: Option<String>,
    /// Begin behind this job
    #[arg(long)]
    pub after: Option<String>,
    /// Jobs shown at most
    #[arg(long, default_value_t = 1000)]
    pub most: usize,
}

#[derive(Debug, Clone, Args)]
pub struct Up {
    /// Folder of the region: state, logs, outputs. Given again, it goes on where it was
    #[arg(long, value_name = "DIR", default_value = ".latch")]
    pub state: PathBuf,
    #[arg(long, default_value_t = 3)]
    pub controllers: usize,
    /// Machines that the cloud rents at most
    #[arg(long, default_value_t = 4)]
    pub machines: usize,
    /// CPUs of a machine; accounted, not enforced
    #[arg(long, default_value_t = 4.0)]
    pub cpus: f64,
    /// Memory of a machine in GB; accounted, not enforced
    #[arg(long, default_value_t = 8.0)]
    pub memory_gb: f64,
    /// A team: its name, CPUs guaranteed, CPUs at most (0: no limit). May be repeated
    #[arg(long = "team", value_name = "NAME=CPUS:MOST", default_value = "default=0:0")]
    pub teams: Vec<String>,
    /// Tunables of the controllers (HCL); the operators' interface is on without one
    #[arg(long, value_name = "FILE")]
    pub tunables: Option<PathBuf>,
    /// The controllers' program instead of olivelatchctl itself
    #[arg(long, value_name = "PROGRAM")]
    pub controller: Option<PathBuf>,
    /// error, info or debug, for the controllers' logs
    #[arg(long, default_value = "info")]
    pub log_level: String,
}

#[derive(Debug, Clone, Args)]
pub struct Demo {
    /// Keep the folder of the region
    #[arg(long)]
    pub keep: bool,
    /// Tasks of the largest job
    #[arg(long, default_value_t = 120)]
    pub tasks: u32,
}

#[derive(Debug, Args)]
#[command(disable_help_flag = true)]
pub struct Controller {
    #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
    pub rest: Vec<OsString>,
}

/// Prints the completions for a shell.
pub fn completions(shell: Shell) {
    clap_complete::generate(shell, &mut Cli::command(), "olivelatchctl", &mut io::stdout());
}

#[cfg(test)]
#[path = "tests/args.rs"]
mod tests;
