/** Tests of the callers. */
package org.mangowall.standin.caller;
