# Sourced by the project's scripts: sets JAVA_HOME to a JDK of version 21 or newer, or exits with code 3.

jdk_major_version() {
  "$1/bin/java" -version 2>&1 | sed -n 's/.*version "\([0-9]*\).*/\1/p' | head -n 1
}

is_usable_jdk() {
  [ -x "$1/bin/javac" ] || return 1
  version=$(jdk_major_version "$1")
  [ -n "$version" ] && [ "$version" -ge 21 ]
}

find_jdk() {
  if [ -n "${JAVA_HOME:-}" ] && is_usable_jdk "$JAVA_HOME"; then
    printf '%s\n' "$JAVA_HOME"
    return 0
  fi
  best_version=0
  best_home=""
  for home in /usr/lib/jvm/* /usr/java/* /opt/java/* /opt/jdk* /Library/Java/JavaVirtualMachines/*/Contents/Home "$HOME"/.sdkman/candidates/java/*; do
    is_usable_jdk "$home" || continue
    version=$(jdk_major_version "$home")
    if [ "$version" -gt "$best_version" ]; then
      best_version=$version
      best_home=$home
    fi
  done
  [ -n "$best_home" ] && printf '%s\n' "$best_home"
}

if ! JAVA_HOME=$(find_jdk); then
  echo "mangowall: no JDK 21 or newer found; install one or set JAVA_HOME to it." >&2
  exit 3
fi
export JAVA_HOME
export PATH="$JAVA_HOME/bin:$PATH"
