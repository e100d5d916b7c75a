/** Tests of the platform stand-in. */
package org.mangowall.standin.platform;
