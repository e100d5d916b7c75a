# Sourced by the start scripts: launch HEAP MAIN_CLASS [ARGUMENT...] replaces the shell with the program.

home=$(cd "$(dirname "$0")/.." && pwd)
. "$home/bin/find-jdk.sh"

launch() {
  heap=$1
  main_class=$2
  shift 2
  unsafe_access=""
  if [ "$(jdk_major_version "$JAVA_HOME")" -ge 23 ]; then
    unsafe_access=--sun-misc-unsafe-memory-access=allow
  fi
  exec "$JAVA_HOME/bin/java" \
    -XX:+UseSerialGC "-Xmx$heap" -Xss512k \
    --enable-native-access=ALL-UNNAMED $unsafe_access \
    -Djava.util.logging.manager=org.jboss.logmanager.LogManager \
    ${MANGOWALL_JAVA_OPTIONS:-} \
    -cp "$home/lib/*" "$main_class" "$@"
}
